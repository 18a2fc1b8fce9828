// A model of a service under load that drives a Planner. For tests and
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

// Upstreams u0, u1, ... of one service divided by key. Every two seconds of
// model time each leader reports the requests it has counted (Poisson noise
// around the rates), and the planned moves are applied.
class PlannerSimulation {
 public:
  // Keys whose shards change with the seed of SetZipfRates(): "the hottest 45
  // keys change within minutes".
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
    // Highest load of an upstream over the mean, by the true rates: mean over
    // the intervals, highest, and the share of the intervals above 1.15.
    double mean_imbalance = 0;
    double worst_imbalance = 0;
    double share_above_target = 0;
  };

  PlannerSimulation(std::uint32_t upstreams,
                    std::uint32_t shards,
                    std::uint64_t seed,
                    const Planner::Options& options = {});

  // Settings that the planner uses from the next plan on.
  ServiceSettings& settings();

  // The rate of the whole service; used by SetZipfRates().
  void SetServiceRate(double rate) { service_rate_ = rate; }
  void SetEqualRates(double requests_per_second);
  // Zipf with exponent 1.0 over `keys` keys.
  void SetZipfRates(std::uint32_t keys, std::uint64_t seed);
  // Two shards with this share of the load each, the others with equal rates.
  void SetTwoHotShards(std::uint32_t first, std::uint32_t second, double share);

  Summary Run(std::chrono::seconds duration);

  // The upstream's leader sends no more reports.
  void StopReports(const std::string& upstream) { silent_.insert(upstream); }
  void SetLeaving(const std::string& upstream);
  // Marks the upstream lost or returned, and applies `policy` to the shards.
  // Returns the number of moves.
  std::size_t SetAccepting(std::uint32_t upstream,
                           bool accepts,
                           const PlacementPolicy& policy);
  // Places all shards anew. Returns the number of moves.
  std::size_t Place(const PlacementPolicy& policy);
  // Planned moves are lost.
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
  std::set<std::string> silent_;
  bool drop_moves_ = false;
  BootTime now_ = BootTime(std::chrono::hours(1));
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLANNER_SIMULATION_H_
