// The settings of one service, as its team's section declares them.

#ifndef POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_
#define POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "document/key_source.h"

namespace pollenrudder {

// One service of the document. The defaults here are the defaults of the
// document's fields.
struct ServiceSettings {
  std::string name;
  std::string team;
  // Requests whose path starts with this prefix belong to the service, for
  // example "/geodata/". It starts and ends with a slash.
  std::string path_prefix;
  bool divided_by_key = false;
  KeySource key;
  // Fixed for the life of the service: a change would give keys new owners
  // without a move.
  std::uint32_t shards = 1024;
  // Methods that may run more than once. All other methods are non-repeatable.
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
  // Load imbalance (in percent above the mean) at which the planner moves
  // shards. A deployment that weighs churn most sets it high.
  std::uint32_t imbalance_percent = 15;
  // A shard that moved stays for at least this long.
  std::chrono::milliseconds dwell{60000};

  bool IsRepeatable(const std::string& method) const;

  bool operator==(const ServiceSettings&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_SERVICE_SETTINGS_H_
