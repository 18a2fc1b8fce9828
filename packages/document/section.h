// Section of the document that one team declares.

#ifndef POLLENRUDDER_DOCUMENT_SECTION_H_
#define POLLENRUDDER_DOCUMENT_SECTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "document/planned_stop.h"
#include "document/service_settings.h"

namespace pollenrudder {

// The services, planned stops and limits of a team. A section takes effect as a
// whole.
struct Section {
  std::string team;
  std::vector<ServiceSettings> services;
  std::vector<PlannedStop> planned_stops;
  // Availability zones and instances that the team declares lost for its own
  // services. Their terms for the team's upstreams may be claimed without the
  // isolation hold.
  std::vector<std::string> lost_zones;
  std::vector<std::string> lost_instances;
  // Limit of the team's requests in flight at one instance.
  std::uint32_t max_in_flight = 4096;

  bool operator==(const Section&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_SECTION_H_
