// The planner of one service: moves shards from busy upstreams to idle ones.

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

// Load reports go in, moves come out. The planner only advises: a move that is
// lost or refused is planned again. Upstreams without a recent report are
// neither source nor target and do not count for the mean; while more than half
// are without one, nothing is planned.
//   planner.Report(work, now);              // each report of a leader
//   for (const PlannedMove& move : planner.Plan(table, now)) ...  // every 2 s
// The threshold and the dwell time come from the service's settings. A move is
// planned only if
//   - an upstream was above the threshold in two plans in a row;
//   - the shard has not moved for the dwell time;
//   - the moved load is worth the cost of a move;
//   - the target stays below the level at which moves stop.
// Moves stop at half the threshold, so that a small change of load does not
// start them again at once (hysteresis).
// Two moves are exceptions: a heavy shard that shares its upstream with another
// one may go to a target that gives light shards away afterwards, and a nearly
// idle upstream is filled without a threshold. docs/decisions/0003-placement.md
// compares the options.
class Planner {
 public:
  struct Options {
    // The time constant of the load average of a shard. It is lengthened for
    // services with few requests, so that the noise of the counts does not
    // reach the threshold.
    std::chrono::nanoseconds load_window = std::chrono::seconds(4);
    // Reports older than this are missing.
    std::chrono::nanoseconds report_lifetime = std::chrono::seconds(8);
    // A planned move that is not seen in the table after this time is dropped.
    std::chrono::nanoseconds move_timeout = std::chrono::seconds(10);
    // The load that a move must take off its upstream, as a share of the mean
    // load of an upstream. Moves of shards that are nearly idle cost an
    // interruption each and change nothing.
    double min_move_load = 0.002;
    // The largest share of the service's load moved by one plan.
    double max_share_per_plan = 0.04;
    // An upstream below this share of the mean load is filled even though no
    // other is above the threshold: it has started or returned. 0: never.
    double fill_below = 0.5;
  };

  explicit Planner(std::string service);
  Planner(std::string service, const Options& options);

  void Report(const UpstreamLoadReport& work, BootTime now);
  // Uses the service's settings, owners and upstreams in `table`.
  std::vector<PlannedMove> Plan(const RoutingTable& table, BootTime now);

  // The load average of a shard in requests/s, for placement on loss.
  double LoadOf(std::uint32_t shard) const;
  // Highest load of an upstream as a multiple of the mean, at the last plan.
  double imbalance() const { return imbalance_; }

 private:
  struct ShardState {
    double load = 0;
    // Has had a sample.
    bool sampled = false;
    LogOffset placed = kNoOffset;
    // The last move seen in the table.
    std::optional<BootTime> moved;
    // A move that is planned but not yet seen in the table.
    std::uint32_t pending_target = RoutedService::kNoUpstream;
    BootTime pending_since;
  };

  struct UpstreamReport {
    UpstreamLoadReport work;
    BootTime at;
    // When the report before it arrived.
    std::optional<BootTime> previous_at;
    // True until the report has been added to the averages.
    bool fresh = true;
  };

  // An upstream during one plan.
  struct Bin {
    // Index into RoutingTable::upstreams.
    std::uint32_t upstream = 0;
    double load = 0;
    // The load of its heaviest shard.
    double heaviest = 0;
    // Movable shards, lightest first.
    std::vector<std::uint32_t> shards;
  };

  // The levels of one plan.
  struct Levels {
    double mean = 0;
    double total = 0;
    // Moves start above `high` and stop at `stop`.
    double high = 0;
    double stop = 0;
  };

  void TrackMoves(const RoutedService& service, BootTime now);
  bool HasReport(const RoutedUpstream& upstream, BootTime now) const;
  void ApplyReports(const RoutingTable& table,
                    const RoutedService& service,
                    BootTime now);
  // The time constant for the service's present request rate, in seconds.
  double LoadWindow(const RoutedService& service, BootTime now) const;
  void ApplyReport(const UpstreamReport& report,
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
  // Two heavy shards share an upstream, and neither fits beside the load of
  // another. Moves one to an upstream without heavy shards, which then gives
  // its light shards away in the next plans.
  bool SeparateHeavy(const Levels& levels,
                     Bin& source,
                     std::vector<Bin>& bins,
                     const RoutingTable& table,
                     BootTime now,
                     std::vector<PlannedMove>& moves);
  void FillIdle(const Levels& levels,
                std::vector<Bin>& bins,
                const RoutingTable& table,
                BootTime now,
                std::vector<PlannedMove>& moves);
  // Moves the heaviest shard of `from` with a load between `least` and `most`.
  // Returns its load, or nothing if there is none.
  std::optional<double> MoveOne(Bin& from,
                                Bin& to,
                                double least,
                                double most,
                                const RoutingTable& table,
                                BootTime now,
                                std::vector<PlannedMove>& moves);

  const std::string service_;
  const Options options_;
  std::vector<ShardState> shards_;
  std::map<std::string, UpstreamReport, std::less<>> reports_;
  // Plans in a row with an upstream above the threshold.
  std::uint32_t plans_above_ = 0;
  bool moving_ = false;
  double imbalance_ = 1;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLANNER_H_
