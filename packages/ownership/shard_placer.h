// ShardPlacer: assigns owners to the shards that have none.

#ifndef POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_
#define POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_

#include <chrono>
#include <map>
#include <string>

#include "base/boot_clock.h"
#include "ownership/control_context.h"
#include "ownership/target_chooser.h"

namespace pollenrudder {

// Runs on the planner of a service: the active leader of its first upstream by
// name. A `place` record takes effect only for shards without an owner, so a
// second planner with an older table changes nothing.
class ShardPlacer {
 public:
  // The first placement waits up to this long for the terms of all listed
  // upstreams. Otherwise the first upstream with a term would get every shard.
  static constexpr std::chrono::milliseconds kFirstPlacementWait{2000};

  ShardPlacer(ControlContext& context, const TargetChooser& targets);

  // Places the unowned shards of a service that this instance plans.
  void OnTick(const std::string& service);

 private:
  bool AllUpstreamsHaveTerms(const std::string& service) const;

  ControlContext& context_;
  const TargetChooser& targets_;
  // By service: the last record that places shards, and the time since which it
  // has had shards without an owner.
  std::map<std::string, std::string> place_records_;
  std::map<std::string, BootTime> unowned_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_SHARD_PLACER_H_
