// Load model, reports and placement of the simulated service.

#include "routing/planner_simulation.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <xxhash.h>

namespace pollenrudder {

namespace {

constexpr char kService[] = "geodata";
constexpr std::size_t kReportedShards = 64;

}  // namespace

PlannerSimulation::PlannerSimulation(std::uint32_t upstreams,
                                     std::uint32_t shards,
                                     std::uint64_t seed,
                                     const Planner::Options& options)
    : planner_(kService, options), random_(seed), rates_(shards, 1) {
  RoutedService routed;
  routed.settings.name = kService;
  routed.settings.is_sharded = true;
  routed.settings.shards = shards;
  table_.offset = 1;
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    RoutedUpstream upstream;
    upstream.name = "u" + std::to_string(i);
    upstream.service = kService;
    table_.upstreams.push_back(upstream);
    routed.upstreams.push_back(i);
  }
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    routed.shard_owners.push_back(shard % upstreams);
    routed.shard_offsets.push_back(table_.offset);
  }
  table_.services.emplace(kService, std::move(routed));
}

RoutedService& PlannerSimulation::service() {
  return table_.services.find(kService)->second;
}

const RoutedService& PlannerSimulation::service() const {
  return table_.services.find(kService)->second;
}

ServiceSettings& PlannerSimulation::settings() {
  return service().settings;
}

void PlannerSimulation::SetEqualRates(double requests_per_second) {
  std::fill(rates_.begin(), rates_.end(),
            requests_per_second / static_cast<double>(rates_.size()));
}

void PlannerSimulation::SetZipfRates(std::uint32_t keys, std::uint64_t seed) {
  std::fill(rates_.begin(), rates_.end(), 0);
  double total = 0;
  for (std::uint64_t rank = 1; rank <= keys; ++rank) {
    const std::array<std::uint64_t, 2> key = {rank,
                                              rank <= kHotKeys ? seed : 0};
    const double weight = 1 / static_cast<double>(rank);
    rates_[XXH3_64bits(key.data(), sizeof(key)) % rates_.size()] += weight;
    total += weight;
  }
  for (double& rate : rates_)
    rate *= service_rate_ / total;
}

void PlannerSimulation::SetTwoHotShards(std::uint32_t first,
                                        std::uint32_t second,
                                        double share) {
  SetEqualRates(service_rate_ * (1 - 2 * share));
  rates_[first] = service_rate_ * share;
  rates_[second] = service_rate_ * share;
}

void PlannerSimulation::SetLeaving(const std::string& upstream) {
  for (RoutedUpstream& routed : table_.upstreams) {
    if (routed.name == upstream)
      routed.leaving = true;
  }
}

std::size_t PlannerSimulation::ShardsOf(std::uint32_t upstream) const {
  const std::vector<std::uint32_t>& owners = service().shard_owners;
  return static_cast<std::size_t>(
      std::count(owners.begin(), owners.end(), upstream));
}

std::size_t PlannerSimulation::SetAccepting(std::uint32_t upstream,
                                            bool accepts,
                                            const PlacementPolicy& policy) {
  table_.upstreams[upstream].leaving = !accepts;
  return Place(policy);
}

std::size_t PlannerSimulation::Place(const PlacementPolicy& policy) {
  RoutedService& routed = service();
  std::vector<ShardPlacement> shards;
  for (std::uint32_t shard = 0; shard < rates_.size(); ++shard) {
    shards.push_back(
        {shard, routed.shard_owners[shard], planner_.LoadOf(shard)});
  }
  std::vector<PlacementUpstream> upstreams;
  for (const RoutedUpstream& upstream : table_.upstreams)
    upstreams.push_back({upstream.name, !upstream.leaving});
  const std::vector<std::uint32_t> owners = policy.Place(shards, upstreams);
  std::size_t moves = 0;
  ++table_.offset;
  for (std::uint32_t shard = 0; shard < rates_.size(); ++shard) {
    if (owners[shard] == routed.shard_owners[shard])
      continue;
    ++moves;
    routed.shard_owners[shard] = owners[shard];
    routed.shard_offsets[shard] = table_.offset;
  }
  return moves;
}

double PlannerSimulation::Imbalance() const {
  std::vector<double> loads(table_.upstreams.size(), 0);
  for (std::size_t shard = 0; shard < rates_.size(); ++shard)
    loads[service().shard_owners[shard]] += rates_[shard];
  const auto accepting = static_cast<double>(std::count_if(
      table_.upstreams.begin(), table_.upstreams.end(),
      [](const RoutedUpstream& upstream) { return !upstream.leaving; }));
  return *std::max_element(loads.begin(), loads.end()) * accepting /
         std::accumulate(rates_.begin(), rates_.end(), 0.0);
}

void PlannerSimulation::SendReports() {
  const double interval = static_cast<double>(kInterval.count());
  std::vector<UpstreamLoadReport> reports(table_.upstreams.size());
  for (std::uint32_t shard = 0; shard < rates_.size(); ++shard) {
    const double expected = rates_[shard] * interval;
    const double counted =
        expected > 0 ? std::poisson_distribution<int>(expected)(random_) : 0;
    UpstreamLoadReport& report = reports[service().shard_owners[shard]];
    report.requests_per_second += counted / interval;
    report.shards.push_back({shard, counted / interval});
  }
  for (std::size_t i = 0; i < reports.size(); ++i) {
    UpstreamLoadReport& report = reports[i];
    report.upstream = table_.upstreams[i].name;
    if (without_reports_.contains(report.upstream))
      continue;
    std::sort(report.shards.begin(), report.shards.end(),
              [](const ShardLoadReport& left, const ShardLoadReport& right) {
                return left.requests_per_second > right.requests_per_second;
              });
    if (report.shards.size() > kReportedShards)
      report.shards.resize(kReportedShards);
    planner_.Report(report, now_);
  }
}

void PlannerSimulation::Apply(const std::vector<PlannedMove>& moves,
                              Summary& summary) {
  if (!moves.empty())
    ++table_.offset;
  for (const PlannedMove& move : moves) {
    summary.all.push_back({move.shard, move.from, move.to, now_});
    if (drop_moves_)
      continue;
    service().shard_owners[move.shard] =
        static_cast<std::uint32_t>(std::stoul(move.to.substr(1)));
    service().shard_offsets[move.shard] = table_.offset;
  }
}

PlannerSimulation::Summary PlannerSimulation::Run(
    std::chrono::seconds duration) {
  Summary summary;
  const auto intervals = duration / kInterval;
  for (std::int64_t i = 0; i < intervals; ++i) {
    now_ += kInterval;
    SendReports();
    Apply(planner_.Plan(table_, now_), summary);
    const double imbalance = Imbalance();
    summary.mean_imbalance += imbalance / static_cast<double>(intervals);
    summary.worst_imbalance = std::max(summary.worst_imbalance, imbalance);
    if (imbalance > 1.15)
      summary.share_above_target += 1 / static_cast<double>(intervals);
  }
  summary.moves = summary.all.size();
  return summary;
}

}  // namespace pollenrudder
