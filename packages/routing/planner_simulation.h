// Simulation of a service under load, with a Planner. For tests and
// policy_bench only.

#ifndef POLLENRUDDER_ROUTING_PLANNER_SIMULATION_H_
#define POLLENRUDDER_ROUTING_PLANNER_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "routing/placement.h"
#include "routing/planner.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Simulates one service that is sharded by key over the upstreams u0, u1, ...
// Every two seconds of simulated time, each leader reports the requests that it
// has counted (Poisson-distributed around the configured rates), and the
// planned moves are applied.
class PlannerSimulation {
 public:
  // The number of keys whose shards change with the seed of SetZipfRates().
  // Requirement: "the hottest 45 keys change within minutes".
  static constexpr std::uint32_t kHotKeys = 45;
  static constexpr std::chrono::seconds kInterval{2};

  struct Move {
    std::uint32_t shard = 0;
    std::string from;
    std::string to;
    BootTime at;
  };

  struct Summary {
    std::size_t moves = 0;
    std::vector<Move> all;
    // Highest load of an upstream as a multiple of the mean, by the configured
    // rates: the mean over the intervals, the maximum, and the share of the
    // intervals above 1.15.
    double mean_imbalance = 0;
    double worst_imbalance = 0;
    double share_above_target = 0;
  };

  PlannerSimulation(std::uint32_t upstreams,
                    std::uint32_t shards,
                    std::uint64_t seed,
                    const Planner::Options& options = {});

  // Settings for the planner, effective from the next plan.
  ServiceSettings& settings();

  // The request rate of the whole service, for SetZipfRates() and
  // SetTwoHotShards().
  void SetServiceRate(double rate) { service_rate_ = rate; }
  void SetEqualRates(double requests_per_second);
  // Zipf-distributed rates with exponent 1.0 over `keys` keys.
  void SetZipfRates(std::uint32_t keys, std::uint64_t seed);
  // Two shards with this share of the load each; the others have equal rates.
  void SetTwoHotShards(std::uint32_t first, std::uint32_t second, double share);

  Summary Run(std::chrono::seconds duration);

  // The leader of the upstream stops sending reports.
  void StopReports(const std::string& upstream) {
    without_reports_.insert(upstream);
  }
  void SetLeaving(const std::string& upstream);
  // Marks the upstream as lost or returned and applies `policy` to all shards.
  // Returns the number of moves.
  std::size_t SetAccepting(std::uint32_t upstream,
                           bool accepts,
                           const PlacementPolicy& policy);
  // Applies `policy` to all shards. Returns the number of moves.
  std::size_t Place(const PlacementPolicy& policy);
  // If true, planned moves are not applied.
  void DropMoves(bool drop) { drop_moves_ = drop; }

  std::size_t ShardsOf(std::uint32_t upstream) const;
  double Imbalance() const;

 private:
  RoutedService& service();
  const RoutedService& service() const;
  void SendReports();
  void Apply(const std::vector<PlannedMove>& moves, Summary& summary);

  Planner planner_;
  RoutingTable table_;
  std::mt19937_64 random_;
  double service_rate_ = 6000;
  std::vector<double> rates_;
  std::set<std::string> without_reports_;
  bool drop_moves_ = false;
  BootTime now_ = BootTime(std::chrono::hours(1));
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLANNER_SIMULATION_H_
