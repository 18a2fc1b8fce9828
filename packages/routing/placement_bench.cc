// Simulation of placement and of load balancing while hot keys change. Sections
// `placement` and `balance` of policy_bench.

#include <functional>
#include <memory>

#include "routing/bench_report.h"
#include "routing/placement_baselines.h"
#include "routing/planner_simulation.h"
#include "routing/spread_placement.h"

namespace pollenrudder {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t kShards = 1024;
constexpr std::uint32_t kKeys = 1000000;
constexpr std::uint64_t kSeeds = 5;

struct Deployment {
  std::string name;
  std::uint32_t upstreams;
};

const std::vector<Deployment>& Deployments() {
  static const std::vector<Deployment> deployments = {
      {"Lochmoor geodata, 9", 9}, {"Cumbre carta, 15", 15}};
  return deployments;
}

// Lets the planner measure the load without applying moves.
void MeasureLoad(PlannerSimulation& simulation, seconds duration) {
  simulation.DropMoves(true);
  simulation.Run(duration);
  simulation.DropMoves(false);
}

struct PlacementFigures {
  double imbalance = 0;
  double shards_owned = 0;
  double moves_on_loss = 0;
  double imbalance_after_loss = 0;
  double moves_on_return = 0;
  double imbalance_after_return = 0;
};

PlacementFigures Measure(std::uint32_t upstreams,
                         const PlacementPolicy& policy,
                         bool planner,
                         double fill_below) {
  PlacementFigures sum;
  constexpr double kShare = 1.0 / kSeeds;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlannerSimulation simulation(upstreams, kShards, seed,
                                 {.fill_below = fill_below});
    simulation.SetZipfRates(kKeys, seed);
    MeasureLoad(simulation, seconds(30));
    simulation.Place(policy);
    const seconds settle(planner ? 300 : 0);
    simulation.Run(settle);
    sum.imbalance += kShare * simulation.Imbalance();
    sum.shards_owned += kShare * static_cast<double>(simulation.ShardsOf(2));
    const std::size_t lost = simulation.SetAccepting(2, false, policy);
    sum.moves_on_loss +=
        kShare * static_cast<double>(lost + simulation.Run(settle).moves);
    sum.imbalance_after_loss += kShare * simulation.Imbalance();
    const std::size_t moves_on_return =
        simulation.SetAccepting(2, true, policy);
    sum.moves_on_return +=
        kShare *
        static_cast<double>(moves_on_return + simulation.Run(settle).moves);
    sum.imbalance_after_return += kShare * simulation.Imbalance();
  }
  return sum;
}

}  // namespace

void RunPlacementBench() {
  BenchReport::Title(
      "Placement: 1024 shards, Zipf 1.0 over 1M keys, mean of 5 seeds");
  BenchReport::Header({"service, upstreams", "policy", "load, max/mean",
                       "shards held", "moves on loss", "moves / held",
                       "max/mean after loss", "moves on return",
                       "max/mean after return"});
  const ModuloPlacement modulo;
  const RendezvousPlacement rendezvous;
  const BoundedRingPlacement ring(1.15);
  const SpreadPlacement spread;
  struct Option {
    std::string name;
    const PlacementPolicy* policy;
    bool planner;
    double fill_below;
  };
  const std::vector<Option> options = {
      {"modulo", &modulo, false, 0},
      {"rendezvous", &rendezvous, false, 0},
      {"ring bounded by load 1.15", &ring, false, 0},
      {"spread alone (loads not known at first)", &spread, false, 0},
      {"spread + planner, no filling", &spread, true, 0},
      {"spread + planner, fill below 0.5", &spread, true, 0.5}};
  for (const Deployment& deployment : Deployments()) {
    for (const Option& option : options) {
      const PlacementFigures figures =
          Measure(deployment.upstreams, *option.policy, option.planner,
                  option.fill_below);
      BenchReport::Row(
          {deployment.name, option.name,
           BenchReport::Number(figures.imbalance, 3),
           BenchReport::Number(figures.shards_owned, 1),
           BenchReport::Number(figures.moves_on_loss, 1),
           BenchReport::Number(figures.moves_on_loss / figures.shards_owned, 2),
           BenchReport::Number(figures.imbalance_after_loss, 3),
           BenchReport::Number(figures.moves_on_return, 1),
           BenchReport::Number(figures.imbalance_after_return, 3)});
    }
  }
}

namespace {

struct BalanceOption {
  std::string name;
  std::uint32_t percent = 15;
  std::int64_t dwell_seconds = 60;
  Planner::Options options;
  // If set, this policy is applied every 10 s and replaces the planner.
  const PlacementPolicy* policy = nullptr;
  bool planned = true;
};

void Accumulate(PlannerSimulation::Summary& sum,
                const PlannerSimulation::Summary& part,
                double share) {
  sum.moves += part.moves;
  sum.mean_imbalance += share * part.mean_imbalance;
  sum.worst_imbalance = std::max(sum.worst_imbalance, part.worst_imbalance);
  sum.share_above_target += share * part.share_above_target;
}

// Simulates 30 minutes with ten changes of the 45 hottest keys.
PlannerSimulation::Summary RunHotKeys(std::uint32_t upstreams,
                                      const BalanceOption& option,
                                      std::uint64_t seed) {
  constexpr int kChanges = 10;
  constexpr seconds kChangeInterval(180);
  PlannerSimulation simulation(upstreams, kShards, seed, option.options);
  simulation.settings().imbalance_percent = option.percent;
  simulation.settings().dwell = seconds(option.dwell_seconds);
  simulation.SetZipfRates(kKeys, seed * 100);
  MeasureLoad(simulation, seconds(30));
  const SpreadPlacement spread;
  simulation.Place(option.policy ? *option.policy : spread);
  simulation.DropMoves(!option.planned);
  if (option.planned)
    simulation.Run(kChangeInterval);
  PlannerSimulation::Summary sum;
  for (int change = 1; change <= kChanges; ++change) {
    simulation.SetZipfRates(kKeys, seed * 100 + change);
    if (!option.policy) {
      PlannerSimulation::Summary part = simulation.Run(kChangeInterval);
      if (!option.planned)
        part.moves = 0;
      Accumulate(sum, part, 1.0 / kChanges);
      continue;
    }
    constexpr seconds kPlacementInterval(10);
    constexpr auto kParts = kChangeInterval / kPlacementInterval;
    for (int part = 0; part < kParts; ++part) {
      PlannerSimulation::Summary run = simulation.Run(kPlacementInterval);
      run.moves = simulation.Place(*option.policy);
      Accumulate(sum, run, 1.0 / (kChanges * kParts));
    }
  }
  return sum;
}

std::vector<BalanceOption> BalanceOptions() {
  static const BoundedRingPlacement ring(1.15);
  std::vector<BalanceOption> options;
  options.push_back({.name = "placed once, no planner", .planned = false});
  options.push_back({.name = "ring bounded 1.15, anew every 10 s",
                     .policy = &ring,
                     .planned = false});
  options.push_back({.name = "15 %, dwell 60 s (default)"});
  options.push_back({.name = "same, no limit per plan",
                     .options = {.max_share_per_plan = 1}});
  options.push_back(
      {.name = "same, no move cost", .options = {.min_move_load = 0}});
  for (const double cost : {0.005, 0.01}) {
    options.push_back(
        {.name = "same, move cost " + BenchReport::Number(100 * cost, 1) + " %",
         .options = {.min_move_load = cost}});
  }
  options.push_back(
      {.name = "same, move cost 2 %", .options = {.min_move_load = 0.02}});
  options.push_back({.name = "same, load window 10 s",
                     .options = {.load_window = seconds(10)}});
  options.push_back({.name = "same, load window 2 s",
                     .options = {.load_window = seconds(2)}});
  options.push_back({.name = "same, load window 30 s",
                     .options = {.load_window = seconds(30)}});
  options.push_back({.name = "15 %, no dwell", .dwell_seconds = 0});
  options.push_back({.name = "5 %, dwell 60 s", .percent = 5});
  options.push_back({.name = "10 %, dwell 60 s", .percent = 10});
  options.push_back({.name = "10 %, dwell 20 s (unavailable time first)",
                     .percent = 10,
                     .dwell_seconds = 20});
  options.push_back({.name = "25 %, dwell 300 s (churn first)",
                     .percent = 25,
                     .dwell_seconds = 300});
  options.push_back(
      {.name = "15 %, dwell 300 s", .percent = 15, .dwell_seconds = 300});
  return options;
}

// Measures moves under constant load, after the service is balanced. These are
// caused only by the random variation of the request counts.
void RunSteadyBench() {
  BenchReport::Title(
      "Steady load: moves in 30 minutes after 5 minutes of balancing, Cumbre "
      "carta, mean of 5 seeds");
  BenchReport::Header({"requests/s of the service", "load window s",
                       "moves in 30 min", "load, mean of max/mean",
                       "time above 1.15 (%)"});
  for (const double rate : {300.0, 600.0, 6000.0}) {
    for (const std::int64_t window : {2, 4, 10, 30}) {
      PlannerSimulation::Summary sum;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        PlannerSimulation simulation(15, kShards, seed,
                                     {.load_window = seconds(window)});
        simulation.SetServiceRate(rate);
        simulation.SetZipfRates(kKeys, seed);
        simulation.Run(seconds(300));
        Accumulate(sum, simulation.Run(seconds(1800)), 1.0 / kSeeds);
      }
      BenchReport::Row(
          {BenchReport::Number(rate, 0), std::to_string(window),
           BenchReport::Number(static_cast<double>(sum.moves) / kSeeds, 1),
           BenchReport::Number(sum.mean_imbalance, 3),
           BenchReport::Number(100 * sum.share_above_target, 1)});
    }
  }
}

}  // namespace

void RunBalanceBench() {
  RunSteadyBench();
  BenchReport::Title(
      "Balance: 30 minutes, the 45 hottest keys change every 3 minutes, mean "
      "of 5 seeds");
  BenchReport::Header({"service, upstreams", "option", "moves in 30 min",
                       "load, mean of max/mean", "worst",
                       "time above 1.15 (%)"});
  for (const Deployment& deployment : Deployments()) {
    for (const BalanceOption& option : BalanceOptions()) {
      PlannerSimulation::Summary sum;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        Accumulate(sum, RunHotKeys(deployment.upstreams, option, seed),
                   1.0 / kSeeds);
      BenchReport::Row(
          {deployment.name, option.name,
           BenchReport::Number(static_cast<double>(sum.moves) / kSeeds, 1),
           BenchReport::Number(sum.mean_imbalance, 3),
           BenchReport::Number(sum.worst_imbalance, 3),
           BenchReport::Number(100 * sum.share_above_target, 1)});
    }
  }
}

}  // namespace pollenrudder
