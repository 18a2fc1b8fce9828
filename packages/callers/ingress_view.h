// Per-thread copy of the routing table with indexes for the data path.

#ifndef POLLENRUDDER_CALLERS_INGRESS_VIEW_H_
#define POLLENRUDDER_CALLERS_INGRESS_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "callers/ingress_context.h"
#include "callers/ingress_service.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Holds the newest routing table of RoutingTableHolder and lookup structures
// derived from it. Call Refresh() before each use; pointers into the table are
// valid until the next Refresh(). Used on one thread.
class IngressView {
 public:
  explicit IngressView(const IngressContext& context);

  // Loads the newest table. Inexpensive if the table is unchanged.
  void Refresh();

  // Null until the first table is published.
  const RoutingTable* table() const { return table_.get(); }
  const RoutedUpstream* FindUpstream(std::string_view name) const;
  // Precondition: the table contains the service.
  IngressService& ServiceOf(const std::string& name);
  // Returns true if the leader of `upstream` is known to be in another region.
  bool IsLeaderInOtherRegion(const RoutedUpstream& upstream) const;

 private:
  const IngressContext& context_;
  RoutingTablePointer table_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::unique_ptr<IngressService>, std::less<>> services_;
  // The keys are views into `table_`.
  std::unordered_map<std::string_view, const RoutedUpstream*> upstreams_;
  std::unordered_map<std::string_view, std::string_view> zone_regions_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_VIEW_H_
