// Implementation of ShardDrains.

#include "upstreams/shard_drains.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {

void ShardDrains::OnSent(std::uint32_t shard) {
  ++in_flight_by_shard_[shard];
  ++in_flight_;
}

void ShardDrains::OnEnded(std::uint32_t shard) {
  const auto found = in_flight_by_shard_.find(shard);
  assert(found != in_flight_by_shard_.end() && in_flight_ > 0);
  --in_flight_;
  if (--found->second == 0)
    in_flight_by_shard_.erase(found);
}

void ShardDrains::OnAbandoned(std::uint32_t shard, BootTime may_run_until) {
  OnEnded(shard);
  abandoned_.push_back({shard, may_run_until});
}

void ShardDrains::Start(DrainShards drain, const EpochLookup& epoch_of) {
  for (const std::uint32_t shard : drain.shards)
    blocked_.try_emplace(shard, epoch_of(shard));
  all_blocked_ = all_blocked_ || drain.whole_upstream;
  pending_.push_back(std::move(drain));
}

void ShardDrains::OnTable(const EpochLookup& epoch_of) {
  std::erase_if(blocked_, [&](const auto& entry) {
    return epoch_of(entry.first) != entry.second;
  });
}

void ShardDrains::Resume(const std::vector<std::uint32_t>& shards,
                         bool whole_upstream) {
  if (whole_upstream) {
    all_blocked_ = false;
    blocked_.clear();
    pending_.clear();
    return;
  }
  for (const std::uint32_t shard : shards)
    blocked_.erase(shard);
  std::erase_if(pending_, [&shards](const DrainShards& drain) {
    return std::ranges::any_of(drain.shards, [&](std::uint32_t shard) {
      return std::ranges::find(shards, shard) != shards.end();
    });
  });
}

DrainFinished ShardDrains::MakeFinished(const DrainShards& drain) {
  return {drain.drain_id, drain.upstream};
}

bool ShardDrains::IsBlocked(std::uint32_t shard) const {
  return all_blocked_ || blocked_.contains(shard);
}

std::vector<DrainFinished> ShardDrains::TakeFinished(BootTime now) {
  std::erase_if(abandoned_, [now](const Abandoned& abandoned) {
    return abandoned.may_run_until <= now;
  });
  std::vector<DrainFinished> finished;
  std::erase_if(pending_, [&](const DrainShards& drain) {
    if (!IsIdle(drain))
      return false;
    finished.push_back(MakeFinished(drain));
    return true;
  });
  return finished;
}

bool ShardDrains::IsIdle(const DrainShards& drain) const {
  if (drain.whole_upstream)
    return in_flight_ == 0 && abandoned_.empty();
  return std::ranges::none_of(drain.shards, [this](std::uint32_t shard) {
    return in_flight_by_shard_.contains(shard) ||
           std::ranges::find(abandoned_, shard, &Abandoned::shard) !=
               abandoned_.end();
  });
}

}  // namespace pollenrudder
