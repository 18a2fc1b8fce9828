// Places the shards of a service once its upstreams have terms.

#include "ownership/shard_placer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "ownership/ownership_events.h"

namespace pollenrudder {
namespace {

bool HasUnownedShards(const OwnershipTable& table, const std::string& service) {
  const ServiceSettings* settings = table.document().FindService(service);
  if (!settings || !settings->is_sharded)
    return false;
  const std::vector<ShardState>* shards = table.FindShards(service);
  return !shards || std::any_of(shards->begin(), shards->end(),
                                [](const ShardState& shard) {
                                  return !shard.has_owner();
                                });
}

}  // namespace

ShardPlacer::ShardPlacer(ControlContext& context, const TargetChooser& targets)
    : context_(context), targets_(targets) {}

void ShardPlacer::OnTick(const std::string& service) {
  if (!HasUnownedShards(context_.table(), service)) {
    unowned_since_.erase(service);
    place_records_.erase(service);
    return;
  }
  const auto since =
      unowned_since_.try_emplace(service, context_.now.boot).first;
  const bool wait_expired =
      context_.now.boot >= since->second + kFirstPlacementWait;
  if ((!wait_expired && !AllUpstreamsHaveTerms(service)) ||
      context_.appender.pending(place_records_[service]) ||
      !context_.ReadyToAppend()) {
    return;
  }
  PlaceRecord record;
  record.service = service;
  for (auto& [shard, upstream] : targets_.Choose(service, {}))
    record.placements.push_back({shard, upstream});
  if (record.placements.empty())
    return;
  context_.AddLogEvent(kPlacementSent, {{"service", service},
                                        {"shards", record.placements.size()}});
  place_records_[service] = context_.Append(std::move(record));
}

bool ShardPlacer::AllUpstreamsHaveTerms(const std::string& service) const {
  for (const ListedInstance& listed : context_.directory.instances()) {
    if (listed.kind == ListedInstance::Kind::kUpstream &&
        listed.service == service && !listed.leaving &&
        !context_.table().FindTerm(listed.name)) {
      return false;
    }
  }
  return true;
}

}  // namespace pollenrudder
