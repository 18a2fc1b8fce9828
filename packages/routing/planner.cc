// Load averages and move planning.

#include "routing/planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace pollenrudder {

namespace {

// Consecutive plans with an upstream above the threshold before moves start, so
// that a burst within one report interval causes no moves.
constexpr std::uint32_t kPlansAboveThreshold = 2;
// Rates reported within this time after a move include the time before the move
// and are ignored.
constexpr std::chrono::nanoseconds kSettlingTime = std::chrono::seconds(4);
// A heavy shard is separated from the other shards of its upstream only if
// these have at least this share of the mean load. The move of a shard that is
// almost alone would only move the imbalance.
constexpr double kMinRemainingShare = 0.25;
// The threshold corresponds to at least this many standard deviations of the
// load average of an upstream. With a fixed window of 4 s, a service of 300
// requests/s on 15 upstreams had 1867 moves in 30 minutes of steady load.
constexpr double kThresholdDeviations = 5;
constexpr double kMaxLoadWindowSeconds = 60;
// Limits the computation of one plan.
constexpr std::size_t kMaxMoves = 64;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Planner::Planner(std::string service) : Planner(std::move(service), {}) {}

Planner::Planner(std::string service, const Options& options)
    : service_(std::move(service)), options_(options) {}

void Planner::Report(const UpstreamLoadReport& load_report, BootTime now) {
  ReceivedReport& report = reports_[load_report.upstream];
  if (!report.unprocessed)
    report.previous_at = report.at;
  report.load_report = load_report;
  report.at = now;
  report.unprocessed = true;
}

double Planner::LoadOf(std::uint32_t shard) const {
  return shard < shards_.size() ? shards_[shard].load : 0;
}

void Planner::UpdateMoves(const RoutedService& service, BootTime now) {
  shards_.resize(service.shard_owners.size());
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    ShardState& state = shards_[shard];
    const LogOffset placed = service.shard_offsets[shard];
    if (placed != state.placed) {
      // The placements in the first table are not moves.
      if (state.placed != kNoOffset)
        state.moved = now;
      state.placed = placed;
      state.pending_target = RoutedService::kNoUpstream;
    }
    if (now - state.pending_since > options_.move_timeout)
      state.pending_target = RoutedService::kNoUpstream;
  }
}

bool Planner::HasReport(const RoutedUpstream& upstream, BootTime now) const {
  const auto found = reports_.find(upstream.name);
  return found != reports_.end() &&
         now - found->second.at <= options_.report_lifetime;
}

void Planner::ApplyReports(const RoutingTable& table,
                           const RoutedService& service,
                           BootTime now) {
  std::vector<std::vector<std::uint32_t>> owned(table.upstreams.size());
  for (std::uint32_t shard = 0; shard < service.shard_owners.size(); ++shard) {
    const std::uint32_t owner = service.shard_owners[shard];
    if (owner < owned.size())
      owned[owner].push_back(shard);
  }
  const double window = LoadWindow(service, now);
  for (const std::uint32_t upstream : service.upstreams) {
    const auto found = reports_.find(table.upstreams[upstream].name);
    if (found == reports_.end() || !found->second.unprocessed)
      continue;
    ApplyReport(found->second, owned[upstream], window, now);
    found->second.unprocessed = false;
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.at > 2 * options_.report_lifetime;
  });
}

double Planner::LoadWindow(const RoutedService& service, BootTime now) const {
  double rate = 0;
  for (const auto& [name, report] : reports_) {
    if (now - report.at <= options_.report_lifetime)
      rate += report.load_report.requests_per_second;
  }
  const double window = Seconds(options_.load_window);
  const double threshold = service.settings.imbalance_percent / 100.0;
  if (rate <= 0 || threshold <= 0)
    return window;
  const double rate_each = rate / static_cast<double>(reports_.size());
  // An average with time constant w covers about 2 w x rate requests.
  const double needed =
      std::pow(kThresholdDeviations / threshold, 2) / (2 * rate_each);
  return std::max(window, std::min(needed, kMaxLoadWindowSeconds));
}

void Planner::ApplyReport(const ReceivedReport& report,
                          const std::vector<std::uint32_t>& owned,
                          double window,
                          BootTime now) {
  // Rates of the owned shards. Shards that are not listed share the rest of the
  // upstream's rate equally.
  std::vector<double> rates(owned.size(), -1);
  double rest = report.load_report.requests_per_second;
  std::size_t unlisted = owned.size();
  for (const ShardLoadReport& shard_report : report.load_report.shards) {
    rest -= shard_report.requests_per_second;
    const auto found =
        std::lower_bound(owned.begin(), owned.end(), shard_report.shard);
    if (found == owned.end() || *found != shard_report.shard)
      continue;
    double& rate = rates[static_cast<std::size_t>(found - owned.begin())];
    if (rate < 0)
      --unlisted;
    rate = shard_report.requests_per_second;
  }
  const double rest_each =
      unlisted > 0 ? std::max(rest, 0.0) / static_cast<double>(unlisted) : 0;
  const double interval =
      report.previous_at ? Seconds(report.at - *report.previous_at) : 0;
  const double weight = 1 - std::exp(-interval / window);
  for (std::size_t i = 0; i < owned.size(); ++i) {
    ShardState& state = shards_[owned[i]];
    const double rate = rates[i] < 0 ? rest_each : rates[i];
    if (!state.sampled) {
      state.load = rate;
      state.sampled = true;
      continue;
    }
    if (state.moved && now - *state.moved < kSettlingTime)
      continue;
    state.load += weight * (rate - state.load);
  }
}

std::vector<Planner::Bin> Planner::FillBins(const RoutingTable& table,
                                            const RoutedService& service,
                                            BootTime now) const {
  std::vector<Bin> bins;
  // Indexes into `bins` by index into table.upstreams.
  constexpr std::size_t kNoBin = SIZE_MAX;
  std::vector<std::size_t> bin_of(table.upstreams.size(), kNoBin);
  for (const std::uint32_t index : service.upstreams) {
    const RoutedUpstream& upstream = table.upstreams[index];
    if (upstream.leaving || !HasReport(upstream, now))
      continue;
    bin_of[index] = bins.size();
    bins.push_back({index, 0, 0, {}});
  }
  for (std::uint32_t shard = 0; shard < shards_.size(); ++shard) {
    const ShardState& state = shards_[shard];
    const bool pending = state.pending_target != RoutedService::kNoUpstream;
    const std::uint32_t owner =
        pending ? state.pending_target : service.shard_owners[shard];
    if (owner >= bin_of.size() || bin_of[owner] == kNoBin)
      continue;
    Bin& bin = bins[bin_of[owner]];
    bin.load += state.load;
    bin.heaviest = std::max(bin.heaviest, state.load);
    const bool in_dwell_time =
        state.moved && now - *state.moved < service.settings.dwell;
    if (!pending && !in_dwell_time)
      bin.shards.push_back(shard);
  }
  for (Bin& bin : bins) {
    std::sort(bin.shards.begin(), bin.shards.end(),
              [&](std::uint32_t left, std::uint32_t right) {
                return shards_[left].load < shards_[right].load;
              });
  }
  return bins;
}

std::optional<double> Planner::MoveHeaviest(Bin& from,
                                            Bin& to,
                                            double min_load,
                                            double max_load,
                                            const RoutingTable& table,
                                            BootTime now,
                                            std::vector<PlannedMove>& moves) {
  const auto first_above =
      std::upper_bound(from.shards.begin(), from.shards.end(), max_load,
                       [&](double load, std::uint32_t shard) {
                         return load < shards_[shard].load;
                       });
  if (first_above == from.shards.begin())
    return std::nullopt;
  const auto chosen = std::prev(first_above);
  const std::uint32_t shard = *chosen;
  ShardState& state = shards_[shard];
  if (state.load < min_load)
    return std::nullopt;
  from.shards.erase(chosen);
  from.load -= state.load;
  to.load += state.load;
  to.heaviest = std::max(to.heaviest, state.load);
  state.pending_target = to.upstream;
  state.pending_since = now;
  moves.push_back({shard, table.upstreams[from.upstream].name,
                   table.upstreams[to.upstream].name});
  return state.load;
}

bool Planner::SeparateHeavyShards(const Levels& levels,
                                  Bin& source,
                                  std::vector<Bin>& bins,
                                  const RoutingTable& table,
                                  BootTime now,
                                  std::vector<PlannedMove>& moves) {
  // At this point no shard of the source fits on another upstream.
  const auto heavy = std::find_if(
      source.shards.begin(), source.shards.end(), [&](std::uint32_t shard) {
        return shards_[shard].load > source.load - levels.stop ||
               shards_[shard].load > levels.stop - levels.mean;
      });
  if (heavy == source.shards.end())
    return false;
  const double load = shards_[*heavy].load;
  if (source.load - load < kMinRemainingShare * levels.mean)
    return false;
  Bin* target = nullptr;
  for (Bin& bin : bins) {
    if (&bin == &source || bin.heaviest + load > levels.stop)
      continue;
    if (!target || bin.load < target->load)
      target = &bin;
  }
  return target && MoveHeaviest(source, *target, load, load, table, now, moves)
                       .has_value();
}

void Planner::Balance(const Levels& levels,
                      std::vector<Bin>& bins,
                      const RoutingTable& table,
                      BootTime now,
                      std::vector<PlannedMove>& moves) {
  // Sorted by load, since there can be thousands of upstreams. A source is
  // removed if none of its shards can be moved.
  std::set<std::pair<double, std::size_t>> targets;
  for (std::size_t i = 0; i < bins.size(); ++i)
    targets.emplace(bins[i].load, i);
  std::set<std::pair<double, std::size_t>> sources(
      targets.lower_bound({levels.stop, 0}), targets.end());
  const double min_load = options_.min_move_load * levels.mean;
  double budget = options_.max_share_per_plan * levels.total;
  while (moves.size() < kMaxMoves && !sources.empty()) {
    const auto [source_load, source] = *sources.rbegin();
    const auto [target_load, target] = *targets.begin();
    double max_load =
        std::min(source_load - levels.mean, levels.stop - target_load);
    // The first move may exceed the limit per plan, since a single shard can be
    // heavier.
    if (!moves.empty())
      max_load = std::min(max_load, budget);
    const auto moved = MoveHeaviest(bins[source], bins[target], min_load,
                                    max_load, table, now, moves);
    if (!moved && moves.empty() && source_load > levels.start &&
        SeparateHeavyShards(levels, bins[source], bins, table, now, moves)) {
      return;
    }
    sources.erase({source_load, source});
    if (!moved)
      continue;
    budget -= *moved;
    targets.erase({source_load, source});
    targets.erase({target_load, target});
    targets.emplace(bins[source].load, source);
    targets.emplace(bins[target].load, target);
    if (bins[source].load > levels.stop)
      sources.emplace(bins[source].load, source);
  }
}

void Planner::FillIdleUpstream(const Levels& levels,
                               std::vector<Bin>& bins,
                               const RoutingTable& table,
                               BootTime now,
                               std::vector<PlannedMove>& moves) {
  const auto by_load = [](const Bin& left, const Bin& right) {
    return left.load < right.load;
  };
  const auto target = std::min_element(bins.begin(), bins.end(), by_load);
  if (target->load >= options_.fill_below * levels.mean)
    return;
  double budget = options_.max_share_per_plan * levels.total;
  while (moves.size() < kMaxMoves) {
    const auto source = std::max_element(bins.begin(), bins.end(), by_load);
    const double max_load = std::min(
        {source->load - levels.mean, levels.mean - target->load, budget});
    // Prefers heavy shards, so that few moves fill the upstream.
    const auto moved =
        MoveHeaviest(*source, *target, options_.min_move_load * levels.mean,
                     max_load, table, now, moves);
    if (!moved)
      return;
    budget -= *moved;
  }
}

std::vector<PlannedMove> Planner::Plan(const RoutingTable& table,
                                       BootTime now) {
  const RoutedService* const service = table.FindService(service_);
  if (!service || service->shard_owners.empty())
    return {};
  assert(service->shard_owners.size() == service->shard_offsets.size());
  UpdateMoves(*service, now);
  ApplyReports(table, *service, now);
  std::vector<Bin> bins = FillBins(table, *service, now);
  if (bins.size() < 2 || bins.size() * 2 < service->upstreams.size())
    return {};
  Levels levels;
  double highest = 0;
  for (const Bin& bin : bins) {
    levels.total += bin.load;
    highest = std::max(highest, bin.load);
  }
  if (levels.total <= 0)
    return {};
  levels.mean = levels.total / static_cast<double>(bins.size());
  const double threshold = service->settings.imbalance_percent / 100.0;
  levels.start = levels.mean * (1 + threshold);
  levels.stop = levels.mean * (1 + threshold / 2);
  imbalance_ = highest / levels.mean;

  plans_above_ = highest > levels.start ? plans_above_ + 1 : 0;
  balancing_ = plans_above_ >= kPlansAboveThreshold ||
               (balancing_ && highest > levels.stop);
  std::vector<PlannedMove> moves;
  if (balancing_)
    Balance(levels, bins, table, now, moves);
  else if (options_.fill_below > 0)
    FillIdleUpstream(levels, bins, table, now, moves);
  return moves;
}

}  // namespace pollenrudder
