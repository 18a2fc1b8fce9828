// The routing table as one ingress thread uses it.

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

// Follows the shared table and keeps what is derived from it. Used on one
// thread. References into the table are valid until the next Refresh().
class IngressView {
 public:
  explicit IngressView(const IngressContext& context);

  // Takes the newest table. Cheap if there is no newer one.
  void Refresh();

  // Null before the first table was published.
  const RoutingTable* table() const { return table_.get(); }
  const RoutedUpstream* FindUpstream(std::string_view name) const;
  // Precondition: the table has the service.
  IngressService& ServiceOf(const std::string& name);
  // True if the leader of `upstream` is known to be in another region.
  bool IsLeaderInOtherRegion(const RoutedUpstream& upstream) const;

 private:
  const IngressContext& context_;
  RoutingTablePointer table_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::unique_ptr<IngressService>, std::less<>> services_;
  // Names are views into table_.
  std::unordered_map<std::string_view, const RoutedUpstream*> upstreams_;
  std::unordered_map<std::string_view, std::string_view> zone_regions_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_VIEW_H_
