// Settings of a service in its team's section.

#ifndef POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_
#define POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "document/key_source.h"

namespace pollenrudder {

// A service of the document. The member initializers are the defaults of the
// document's fields.
struct ServiceSettings {
  std::string name;
  std::string team;
  // Requests whose path starts with this prefix are routed to the service. It
  // starts and ends with a slash, for example "/geodata/".
  std::string path_prefix;
  bool is_sharded = false;
  KeySource key;
  // Cannot be changed, since a change would assign keys to new owners without a
  // move.
  std::uint32_t shards = 1024;
  // Methods whose requests may run more than once.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD"};
  std::chrono::milliseconds deadline{2000};
  std::chrono::milliseconds isolation_hold{30000};
  // Limits of each upstream of the service.
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  std::uint32_t queue_length = 64;
  bool checks_fence = true;
  bool echoes_request_id = true;
  std::uint32_t max_body_bytes = 1 << 20;
  // Load imbalance, in percent above the mean, at which the planner moves
  // shards. Deployments in which few moves matter most set a high value.
  std::uint32_t imbalance_percent = 15;
  // Minimum time after a move of a shard before the planner moves it again.
  std::chrono::milliseconds dwell{60000};

  bool IsRepeatable(const std::string& method) const;

  bool operator==(const ServiceSettings&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_
