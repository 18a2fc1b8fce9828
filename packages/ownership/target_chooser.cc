// Applies the placement policy to the replayed state.

#include "ownership/target_chooser.h"

#include <utility>

namespace pollenrudder {

TargetChooser::TargetChooser(const ControlContext& context, LoadOf load_of)
    : context_(context), load_of_(std::move(load_of)) {}

void TargetChooser::SetLost(const std::string& upstream, bool lost) {
  if (lost)
    lost_.insert(upstream);
  else
    lost_.erase(upstream);
}

bool TargetChooser::IsLost(const std::string& upstream) const {
  return lost_.contains(upstream);
}

bool TargetChooser::Accepts(const std::string& upstream) const {
  const TermState* term = context_.table().FindTerm(upstream);
  return term && !term->lost && !IsLost(upstream) &&
         context_.directory.FindUpstream(upstream) &&
         !context_.stops.IsUpstreamStopping(upstream);
}

std::map<std::uint32_t, std::string> TargetChooser::Choose(
    const std::string& service,
    const std::string& source) const {
  std::map<std::uint32_t, std::string> chosen;
  const ServiceSettings* settings = context_.document().FindService(service);
  if (!settings || !settings->is_sharded)
    return chosen;

  std::vector<PlacementUpstream> upstreams;
  std::map<std::string, std::uint32_t> indexes;
  for (const auto& [name, term] : context_.table().state().terms) {
    if (term.service != service)
      continue;
    indexes[name] = static_cast<std::uint32_t>(upstreams.size());
    upstreams.push_back({name, name != source && Accepts(name)});
  }

  const std::vector<ShardState>* owners = context_.table().FindShards(service);
  std::vector<ShardPlacement> shards(settings->shards);
  for (std::uint32_t shard = 0; shard < settings->shards; ++shard) {
    shards[shard].shard = shard;
    shards[shard].load = load_of_(service, shard);
    if (!owners || !(*owners)[shard].has_owner())
      continue;
    const auto owner = indexes.find((*owners)[shard].upstream);
    if (owner != indexes.end())
      shards[shard].owner = owner->second;
  }

  const std::vector<std::uint32_t> owners_by_shard =
      policy_.Place(shards, upstreams);
  for (std::uint32_t shard = 0; shard < owners_by_shard.size(); ++shard) {
    const bool needs_owner =
        shards[shard].owner == ShardPlacement::kNoOwner ||
        (!source.empty() && upstreams[shards[shard].owner].name == source);
    if (needs_owner && owners_by_shard[shard] != ShardPlacement::kNoOwner)
      chosen[shard] = upstreams[owners_by_shard[shard]].name;
  }
  return chosen;
}

}  // namespace pollenrudder
