// Drains of the shards of one upstream.

#ifndef POLLENRUDDER_UPSTREAMS_SHARD_DRAINS_H_
#define POLLENRUDDER_UPSTREAMS_SHARD_DRAINS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/controller_action.h"

namespace pollenrudder {

// Counts the requests in flight by shard, blocks the shards that are drained,
// and reports when no request of a drain can run any more. A request without a
// response (canceled, past its deadline, or on a lost upstream) may still run,
// so its shard stays busy until a time that the caller of OnAbandoned() sets.
// Requests without a shard count as shard 0.
class ShardDrains {
 public:
  // Returns the epoch of a shard of this upstream; kNoOffset if the upstream no
  // longer owns the shard.
  using EpochLookup = std::function<LogOffset(std::uint32_t shard)>;

  void OnSent(std::uint32_t shard);
  void OnEnded(std::uint32_t shard);
  // As OnEnded(), but the upstream may run the request until `may_run_until`.
  void OnAbandoned(std::uint32_t shard, BootTime may_run_until);

  // Blocks the shards of `drain` until their epoch changes or Resume() is
  // called, or the whole upstream until Resume() is called.
  void Start(DrainShards drain, const EpochLookup& epoch_of);
  // Unblocks the shards whose epoch has changed.
  void OnTable(const EpochLookup& epoch_of);
  // Unblocks these shards, or all if `whole_upstream`, and cancels their
  // unfinished drains.
  void Resume(const std::vector<std::uint32_t>& shards, bool whole_upstream);

  bool IsBlocked(std::uint32_t shard) const;

  // Returns the drains whose shards are idle now, each once.
  std::vector<DrainFinished> TakeFinished(BootTime now);

  // Returns the event that reports `drain` as finished.
  static DrainFinished MakeFinished(const DrainShards& drain);

  // Whether TakeFinished() may return a drain later without another call.
  bool has_pending_drains() const { return !pending_.empty(); }
  std::uint32_t in_flight() const { return in_flight_; }

 private:
  struct Abandoned {
    std::uint32_t shard = 0;
    BootTime may_run_until;
  };

  bool IsIdle(const DrainShards& drain) const;

  // Number of requests in flight by shard. Invariant: the sum is in_flight_,
  // and no entry is 0.
  std::unordered_map<std::uint32_t, std::uint32_t> in_flight_by_shard_;
  std::uint32_t in_flight_ = 0;
  std::vector<Abandoned> abandoned_;
  // Blocked shards with their epoch at the start of the drain.
  std::unordered_map<std::uint32_t, LogOffset> blocked_;
  bool all_blocked_ = false;
  std::vector<DrainShards> pending_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_SHARD_DRAINS_H_
