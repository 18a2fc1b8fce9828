// Snapshot of the services, upstreams and shard owners that requests are routed
// by.

#ifndef POLLENRUDDER_ROUTING_ROUTING_TABLE_H_
#define POLLENRUDDER_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_offset.h"
#include "routing/routed_service.h"
#include "routing/routed_upstream.h"

namespace pollenrudder {

// The routing state at one offset of the log, immutable. The control thread
// publishes a new table after each change; I/O threads keep the one they use by
// shared pointer and never see a partially applied change. Related:
// RoutedService, RoutedUpstream, ownership/controller.h.
struct RoutingTable {
  // The offset of the last log record that the table includes.
  LogOffset offset = kNoOffset;
  std::vector<RoutedUpstream> upstreams;
  std::map<std::string, RoutedService, std::less<>> services;

  // Returns the service with the longest path prefix that `path` starts with,
  // or null.
  const RoutedService* FindServiceByPath(std::string_view path) const;
  const RoutedService* FindService(std::string_view name) const;
  const RoutedUpstream* FindUpstream(std::string_view name) const;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTING_TABLE_H_
