// Load balancing of one service: plans moves of shards from busy to idle
// upstreams.

#ifndef POLLENRUDDER_ROUTING_PLANNER_H_
#define POLLENRUDDER_ROUTING_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "routing/planned_move.h"
#include "routing/routing_table.h"
#include "routing/upstream_load_report.h"

namespace pollenrudder {

// Plans moves from the load reports of the leaders:
//   planner.Report(load_report, now);       // each report of a leader
//   for (const PlannedMove& move : planner.Plan(table, now)) ...  // every 2 s
// A planned move is advice to the leader of the shard; a move that is lost or
// refused is planned again. Upstreams without a recent report are neither
// source nor target and do not count for the mean. If more than half of the
// upstreams have no recent report, no moves are planned.
//
// The threshold and the dwell time (the least time between two moves of a
// shard) are settings of the service. A move is planned only if
//   - an upstream was above the threshold in two consecutive plans;
//   - the shard has not moved for the dwell time;
//   - the moved load is worth the cost of a move;
//   - the target stays below the load at which moves stop.
// Moves stop at half the threshold, so that a small change of load does not
// start them again immediately (hysteresis).
//
// Two cases are exceptions. A heavy shard that shares its upstream with another
// heavy shard may move to a target that then moves light shards away. A nearly
// idle upstream gets shards even if no upstream is above the threshold.
// docs/decisions/0003-placement.md compares the options.
class Planner {
 public:
  struct Options {
    // Time constant of the load average of a shard. It is lengthened for
    // services with few requests, so that random variation of the request
    // counts does not reach the threshold.
    std::chrono::nanoseconds load_window = std::chrono::seconds(4);
    // Older reports are treated as missing.
    std::chrono::nanoseconds report_lifetime = std::chrono::seconds(8);
    // A planned move that does not appear in the table within this time is
    // dropped and may be planned again.
    std::chrono::nanoseconds move_timeout = std::chrono::seconds(10);
    // The least load of a moved shard, as a share of the mean load of an
    // upstream. Each move interrupts its shard, and the move of a nearly idle
    // shard does not improve the balance.
    double min_move_load = 0.002;
    // The largest share of the service's load that one plan moves.
    double max_share_per_plan = 0.04;
    // An upstream with less than this share of the mean load is assumed to have
    // just started or returned: it gets shards even if no upstream is above the
    // threshold. 0 disables this.
    double fill_below = 0.5;
  };

  explicit Planner(std::string service);
  Planner(std::string service, const Options& options);

  void Report(const UpstreamLoadReport& load_report, BootTime now);
  // Plans moves from the service's settings, owners and upstreams in `table`.
  std::vector<PlannedMove> Plan(const RoutingTable& table, BootTime now);

  // The load average of a shard in requests/s; used to place the shards of a
  // lost upstream.
  double LoadOf(std::uint32_t shard) const;
  // The highest load of an upstream, as a multiple of the mean, at the last
  // plan.
  double imbalance() const { return imbalance_; }

 private:
  struct ShardState {
    double load = 0;
    // True after the first sample.
    bool sampled = false;
    LogOffset placed = kNoOffset;
    // Time of the last move that appeared in the table.
    std::optional<BootTime> moved;
    // Target of a move that is planned and does not appear in the table yet.
    std::uint32_t pending_target = RoutedService::kNoUpstream;
    BootTime pending_since;
  };

  struct ReceivedReport {
    UpstreamLoadReport load_report;
    BootTime at;
    // Time of the previous report.
    std::optional<BootTime> previous_at;
    // True until the report is added to the averages.
    bool unprocessed = true;
  };

  // The load of one upstream during one plan.
  struct Bin {
    // Index into RoutingTable::upstreams.
    std::uint32_t upstream = 0;
    double load = 0;
    // Load of its heaviest shard.
    double heaviest = 0;
    // The shards that may move, lightest first.
    std::vector<std::uint32_t> shards;
  };

  // Load levels of one plan, in requests/s.
  struct Levels {
    double mean = 0;
    double total = 0;
    // Moves start if an upstream is above `start`, and end when all are below
    // `stop`.
    double start = 0;
    double stop = 0;
  };

  void UpdateMoves(const RoutedService& service, BootTime now);
  bool HasReport(const RoutedUpstream& upstream, BootTime now) const;
  void ApplyReports(const RoutingTable& table,
                    const RoutedService& service,
                    BootTime now);
  // The load window for the current request rate of the service, in seconds.
  double LoadWindow(const RoutedService& service, BootTime now) const;
  void ApplyReport(const ReceivedReport& report,
                   const std::vector<std::uint32_t>& owned,
                   double window,
                   BootTime now);
  std::vector<Bin> FillBins(const RoutingTable& table,
                            const RoutedService& service,
                            BootTime now) const;
  void Balance(const Levels& levels,
               std::vector<Bin>& bins,
               const RoutingTable& table,
               BootTime now,
               std::vector<PlannedMove>& moves);
  // Handles two heavy shards on one upstream, neither of which fits on another
  // upstream in addition to its load. Moves one to an upstream without heavy
  // shards; the next plans move light shards away from there.
  bool SeparateHeavyShards(const Levels& levels,
                           Bin& source,
                           std::vector<Bin>& bins,
                           const RoutingTable& table,
                           BootTime now,
                           std::vector<PlannedMove>& moves);
  void FillIdleUpstream(const Levels& levels,
                        std::vector<Bin>& bins,
                        const RoutingTable& table,
                        BootTime now,
                        std::vector<PlannedMove>& moves);
  // Moves the heaviest shard of `from` with a load from `min_load` to
  // `max_load`. Returns its load, or nothing if there is no such shard.
  std::optional<double> MoveHeaviest(Bin& from,
                                     Bin& to,
                                     double min_load,
                                     double max_load,
                                     const RoutingTable& table,
                                     BootTime now,
                                     std::vector<PlannedMove>& moves);

  const std::string service_;
  const Options options_;
  std::vector<ShardState> shards_;
  std::map<std::string, ReceivedReport, std::less<>> reports_;
  // Consecutive plans with an upstream above the threshold.
  std::uint32_t plans_above_ = 0;
  bool balancing_ = false;
  double imbalance_ = 1;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLANNER_H_
