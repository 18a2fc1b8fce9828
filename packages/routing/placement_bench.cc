// policy_bench: placement, and balance under hot keys that change.

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

// Lets the planner see the load without moving anything.
void Observe(PlannerSimulation& model, seconds duration) {
  model.DropMoves(true);
  model.Run(duration);
  model.DropMoves(false);
}

struct PlacementFigures {
  double imbalance = 0;
  double held = 0;
  double loss = 0;
  double imbalance_after_loss = 0;
  double back = 0;
  double imbalance_after_return = 0;
};

PlacementFigures Measure(std::uint32_t upstreams,
                         const PlacementPolicy& policy,
                         bool planner,
                         double fill_below) {
  PlacementFigures sum;
  constexpr double kShare = 1.0 / kSeeds;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PlannerSimulation model(upstreams, kShards, seed,
                            {.fill_below = fill_below});
    model.SetZipfRates(kKeys, seed);
    Observe(model, seconds(30));
    model.Place(policy);
    const seconds settle(planner ? 300 : 0);
    model.Run(settle);
    sum.imbalance += kShare * model.Imbalance();
    sum.held += kShare * static_cast<double>(model.ShardsOf(2));
    const std::size_t lost = model.SetAccepting(2, false, policy);
    sum.loss += kShare * static_cast<double>(lost + model.Run(settle).moves);
    sum.imbalance_after_loss += kShare * model.Imbalance();
    const std::size_t back = model.SetAccepting(2, true, policy);
    sum.back += kShare * static_cast<double>(back + model.Run(settle).moves);
    sum.imbalance_after_return += kShare * model.Imbalance();
  }
  return sum;
}

}  // namespace

void RunPlacementBench() {
  BenchReport::Title(
      "Placement: 1024 shards, Zipf 1.0 over 1M keys, mean of 5 seeds");
  BenchReport::Head({"service, upstreams", "policy", "load, max/mean",
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
           BenchReport::Number(figures.held, 1),
           BenchReport::Number(figures.loss, 1),
           BenchReport::Number(figures.loss / figures.held, 2),
           BenchReport::Number(figures.imbalance_after_loss, 3),
           BenchReport::Number(figures.back, 1),
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
  // Placed anew every 10 s instead of planned, if set.
  const PlacementPolicy* policy = nullptr;
  bool planned = true;
};

void AddTo(PlannerSimulation::Summary& sum,
           const PlannerSimulation::Summary& part,
           double share) {
  sum.moves += part.moves;
  sum.mean_imbalance += share * part.mean_imbalance;
  sum.worst_imbalance = std::max(sum.worst_imbalance, part.worst_imbalance);
  sum.share_above_target += share * part.share_above_target;
}

// 30 minutes with ten changes of the 45 hottest keys.
PlannerSimulation::Summary RunHotKeys(std::uint32_t upstreams,
                                      const BalanceOption& option,
                                      std::uint64_t seed) {
  constexpr int kChanges = 10;
  constexpr seconds kBetween(180);
  PlannerSimulation model(upstreams, kShards, seed, option.options);
  model.settings().imbalance_percent = option.percent;
  model.settings().dwell = seconds(option.dwell_seconds);
  model.SetZipfRates(kKeys, seed * 100);
  Observe(model, seconds(30));
  const SpreadPlacement spread;
  model.Place(option.policy ? *option.policy : spread);
  model.DropMoves(!option.planned);
  if (option.planned)
    model.Run(kBetween);
  PlannerSimulation::Summary sum;
  for (int change = 1; change <= kChanges; ++change) {
    model.SetZipfRates(kKeys, seed * 100 + change);
    if (!option.policy) {
      PlannerSimulation::Summary part = model.Run(kBetween);
      if (!option.planned)
        part.moves = 0;
      AddTo(sum, part, 1.0 / kChanges);
      continue;
    }
    constexpr seconds kReplace(10);
    constexpr auto kParts = kBetween / kReplace;
    for (int part = 0; part < kParts; ++part) {
      PlannerSimulation::Summary run = model.Run(kReplace);
      run.moves = model.Place(*option.policy);
      AddTo(sum, run, 1.0 / (kChanges * kParts));
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

// Moves under a load that does not change, once it is balanced: caused by the
// noise of the counts alone.
void RunSteadyBench() {
  BenchReport::Title(
      "Steady load: moves in 30 minutes after 5 minutes of balancing, Cumbre "
      "carta, mean of 5 seeds");
  BenchReport::Head({"requests/s of the service", "load window s",
                     "moves in 30 min", "load, mean of max/mean",
                     "time above 1.15 (%)"});
  for (const double rate : {300.0, 600.0, 6000.0}) {
    for (const std::int64_t window : {2, 4, 10, 30}) {
      PlannerSimulation::Summary sum;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        PlannerSimulation model(15, kShards, seed,
                                {.load_window = seconds(window)});
        model.SetServiceRate(rate);
        model.SetZipfRates(kKeys, seed);
        model.Run(seconds(300));
        AddTo(sum, model.Run(seconds(1800)), 1.0 / kSeeds);
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
  BenchReport::Head({"service, upstreams", "option", "moves in 30 min",
                     "load, mean of max/mean", "worst", "time above 1.15 (%)"});
  for (const Deployment& deployment : Deployments()) {
    for (const BalanceOption& option : BalanceOptions()) {
      PlannerSimulation::Summary sum;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
        AddTo(sum, RunHotKeys(deployment.upstreams, option, seed),
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
