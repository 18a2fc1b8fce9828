// The routing table: where each request goes, at one offset of the log.

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

// An immutable snapshot that the control thread publishes after each change.
// I/O threads hold it by shared pointer and never see a half-applied change.
// Related: RoutedService, RoutedUpstream, ownership/controller.h.
struct RoutingTable {
  // The state after the record at this offset.
  LogOffset offset = kNoOffset;
  std::vector<RoutedUpstream> upstreams;
  std::map<std::string, RoutedService, std::less<>> services;

  // Returns the service whose path prefix is the longest that starts `path`,
  // or null.
  const RoutedService* FindServiceByPath(std::string_view path) const;
  const RoutedService* FindService(std::string_view name) const;
  const RoutedUpstream* FindUpstream(std::string_view name) const;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTING_TABLE_H_
