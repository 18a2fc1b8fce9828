// Which shards of an upstream take no new requests, and when they are quiet.

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

// Counts the requests in flight by shard and follows the drains of one
// upstream. A request that was given up without an answer (cancelled, past its
// deadline, on a lost upstream) may still run, so it keeps its shard busy until
// a time its sender gives. Requests without a shard count as shard 0.
class ShardDrains {
 public:
  // Returns the epoch of a shard of this upstream; kNoOffset if the upstream
  // no longer owns it.
  using EpochLookup = std::function<LogOffset(std::uint32_t shard)>;

  void OnSent(std::uint32_t shard);
  void OnEnded(std::uint32_t shard);
  // As OnEnded(), but the request may run until `may_run_until`.
  void OnAbandoned(std::uint32_t shard, BootTime may_run_until);

  // Blocks the shards of `drain` (all if it is of the whole upstream) until
  // their epoch changes or Resume().
  void Start(DrainShards drain, const EpochLookup& epoch_of);
  // Ends the block of shards whose epoch has changed.
  void OnTable(const EpochLookup& epoch_of);
  // Ends the block of these shards, or all blocks if `whole`, and the drains
  // of them that have not finished.
  void Resume(const std::vector<std::uint32_t>& shards, bool whole_upstream);

  bool IsBlocked(std::uint32_t shard) const;

  // Returns the answers to the drains whose shards are quiet now, each once.
  std::vector<DrainFinished> TakeFinished(BootTime now);

  // The answer to a drain.
  static DrainFinished MakeFinished(const DrainShards& drain);

  // Whether TakeFinished() may return something later without another call.
  bool has_pending_drains() const { return !pending_.empty(); }
  std::uint32_t in_flight() const { return in_flight_; }

 private:
  struct Abandoned {
    std::uint32_t shard = 0;
    BootTime may_run_until;
  };

  bool IsIdle(const DrainShards& drain) const;

  // Shards with requests in flight. Invariant: the sum is in_flight_, and no
  // entry is 0.
  std::unordered_map<std::uint32_t, std::uint32_t> in_flight_by_shard_;
  std::uint32_t in_flight_ = 0;
  std::vector<Abandoned> abandoned_;
  // With the epoch at the start of the drain.
  std::unordered_map<std::uint32_t, LogOffset> blocked_;
  bool all_blocked_ = false;
  std::vector<DrainShards> pending_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_SHARD_DRAINS_H_
