// IngressView: indexes of the routing table.

#include "callers/ingress_view.h"

#include <cassert>
#include <random>

namespace pollenrudder {

IngressView::IngressView(const IngressContext& context) : context_(context) {}

void IngressView::Refresh() {
  const std::uint64_t version = context_.tables.version();
  if (version == version_)
    return;
  version_ = version;
  table_ = context_.tables.Load();
  upstreams_.clear();
  zone_regions_.clear();
  for (const RoutedUpstream& upstream : table_->upstreams) {
    upstreams_.emplace(upstream.name, &upstream);
    zone_regions_.emplace(upstream.zone, upstream.region);
  }
  for (const auto& [name, service] : table_->services) {
    std::unique_ptr<IngressService>& state = services_[name];
    if (!state) {
      state = std::make_unique<IngressService>(context_, name,
                                               std::random_device()());
    }
    state->Update(context_, *table_, service);
  }
}

const RoutedUpstream* IngressView::FindUpstream(std::string_view name) const {
  const auto found = upstreams_.find(name);
  return found == upstreams_.end() ? nullptr : found->second;
}

IngressService& IngressView::ServiceOf(const std::string& name) {
  const auto found = services_.find(name);
  assert(found != services_.end());
  return *found->second;
}

bool IngressView::IsLeaderInOtherRegion(const RoutedUpstream& upstream) const {
  const auto found = zone_regions_.find(upstream.leader_zone);
  return found != zone_regions_.end() && found->second != context_.region;
}

}  // namespace pollenrudder
