// ShardDrains.

#include "upstreams/shard_drains.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {

void ShardDrains::OnSent(std::uint32_t shard) {
  ++busy_[shard];
  ++in_flight_;
}

void ShardDrains::OnEnded(std::uint32_t shard) {
  const auto found = busy_.find(shard);
  assert(found != busy_.end() && in_flight_ > 0);
  --in_flight_;
  if (--found->second == 0)
    busy_.erase(found);
}

void ShardDrains::OnAbandoned(std::uint32_t shard, BootTime busy_until) {
  OnEnded(shard);
  abandoned_.push_back({shard, busy_until});
}

void ShardDrains::Start(DrainShards drain, const EpochOf& epoch_of) {
  for (const std::uint32_t shard : drain.shards)
    blocked_.try_emplace(shard, epoch_of(shard));
  whole_blocked_ = whole_blocked_ || drain.whole_upstream;
  pending_.push_back(std::move(drain));
}

void ShardDrains::OnTable(const EpochOf& epoch_of) {
  std::erase_if(blocked_, [&](const auto& entry) {
    return epoch_of(entry.first) != entry.second;
  });
}

void ShardDrains::Resume(const std::vector<std::uint32_t>& shards,
                         bool whole_upstream) {
  if (whole_upstream) {
    whole_blocked_ = false;
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

DrainFinished ShardDrains::FinishedOf(const DrainShards& drain) {
  return {drain.drain_id, drain.upstream};
}

bool ShardDrains::IsBlocked(std::uint32_t shard) const {
  return whole_blocked_ || blocked_.contains(shard);
}

std::vector<DrainFinished> ShardDrains::TakeFinished(BootTime now) {
  std::erase_if(abandoned_, [now](const Abandoned& abandoned) {
    return abandoned.busy_until <= now;
  });
  std::vector<DrainFinished> finished;
  std::erase_if(pending_, [&](const DrainShards& drain) {
    if (!IsQuiet(drain))
      return false;
    finished.push_back(FinishedOf(drain));
    return true;
  });
  return finished;
}

bool ShardDrains::IsQuiet(const DrainShards& drain) const {
  if (drain.whole_upstream)
    return in_flight_ == 0 && abandoned_.empty();
  return std::ranges::none_of(drain.shards, [this](std::uint32_t shard) {
    return busy_.contains(shard) ||
           std::ranges::find(abandoned_, shard, &Abandoned::shard) !=
               abandoned_.end();
  });
}

}  // namespace pollenrudder
