// One team's section of the document.

#ifndef POLLENRUDDER_DOCUMENT_SECTION_H_
#define POLLENRUDDER_DOCUMENT_SECTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "document/planned_stop.h"
#include "document/service_settings.h"

namespace pollenrudder {

// What a team declares. A section is in force whole or not at all.
struct Section {
  std::string team;
  std::vector<ServiceSettings> services;
  std::vector<PlannedStop> planned_stops;
  // Zones and instances that the team declares dead for its own services, so
  // that their upstreams' terms may be claimed without the isolation hold.
  std::vector<std::string> lost_zones;
  std::vector<std::string> lost_instances;
  // Requests of the team in flight at one ingress.
  std::uint32_t max_in_flight = 4096;

  bool operator==(const Section&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_SECTION_H_
