// ShardPlacer: gives owners to shards that have none.

#ifndef POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_
#define POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_

#include <chrono>
#include <map>
#include <string>

#include "base/boot_clock.h"
#include "ownership/control_context.h"
#include "ownership/target_chooser.h"

namespace pollenrudder {

// Runs at the planner of a service: the active leader of its first upstream by
// name. A `place` record names only shards without an owner, so a second
// planner with an older table changes nothing.
class ShardPlacer {
 public:
  // The first placement waits so long for the terms of the listed upstreams, so
  // that the first upstream with a term doesn't get every shard.
  static constexpr std::chrono::milliseconds kFirstPlacementWait{2000};

  ShardPlacer(ControlContext& context, const TargetChooser& targets);

  // Places the shards of a service that this instance plans.
  void OnTick(const std::string& service);

 private:
  bool IsComplete(const std::string& service) const;

  ControlContext& context_;
  const TargetChooser& targets_;
  // By service: the record that places shards, and since when shards without an
  // owner were seen.
  std::map<std::string, std::string> records_;
  std::map<std::string, BootTime> unplaced_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_
