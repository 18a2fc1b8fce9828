// Distributes load reports and turns planned moves into advice.

#include "ownership/load_planner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "ownership/ownership_events.h"
#include "routing/upstream_load_report.h"

namespace pollenrudder {
namespace {

UpstreamLoadReport ToWork(const UpstreamLoad& load) {
  UpstreamLoadReport work;
  work.upstream = load.upstream;
  work.requests_per_second = load.requests_per_second;
  for (const ShardLoad& shard : load.shards)
    work.shards.push_back({shard.shard, shard.requests_per_second});
  return work;
}

}  // namespace

LoadPlanner::LoadPlanner(ControlContext& context) : context_(context) {}

void LoadPlanner::OnLoadReported(
    const LoadReported& report,
    const std::map<std::string, std::string>& planners) {
  const bool own_report = report.from.empty() || report.from == context_.self();
  std::map<std::string, SendLoadReport> reports;
  for (const UpstreamLoad& load : report.upstreams) {
    const auto first = planners.find(load.service);
    const TermState* planner = first == planners.end()
                                   ? nullptr
                                   : context_.table().FindTerm(first->second);
    if (!planner)
      continue;
    if (planner->leader == context_.self()) {
      FindOrAdd(load.service).planner.Report(ToWork(load), context_.now.boot);
    } else if (own_report) {
      SendLoadReport& send = reports[planner->leader];
      send.planner = planner->leader;
      send.peer_address = planner->leader_peer_address;
      send.report.from = context_.self();
      send.report.upstreams.push_back(load);
    }
  }
  for (auto& [planner, send] : reports)
    context_.AddAction(std::move(send));
}

std::vector<MoveAdvised> LoadPlanner::OnTick(const std::string& service,
                                             const RoutingTable& table) {
  std::vector<MoveAdvised> own_advice;
  Service& entry = FindOrAdd(service);
  const BootTime now = context_.now.boot;
  if (entry.planned_at &&
      now < *entry.planned_at + context_.options.load_report_interval) {
    return own_advice;
  }
  entry.planned_at = now;
  std::map<std::pair<std::string, std::string>, MoveAdvised> advice;
  for (const PlannedMove& move : entry.planner.Plan(table, now)) {
    MoveAdvised& advised = advice[{move.from, move.to}];
    advised.upstream = move.from;
    advised.target = move.to;
    advised.shards.push_back(move.shard);
  }
  for (auto& [route, advised] : advice) {
    const TermState* term = context_.table().FindTerm(advised.upstream);
    if (!term)
      continue;
    context_.AddLogEvent(kMoveAdvised, {{"service", service},
                                        {"upstream", advised.upstream},
                                        {"target", advised.target},
                                        {"shards", advised.shards.size()}});
    if (term->leader == context_.self()) {
      own_advice.push_back(std::move(advised));
    } else {
      context_.AddAction(SendMoveAdvice{term->leader, term->leader_peer_address,
                                        std::move(advised)});
    }
  }
  return own_advice;
}

double LoadPlanner::LoadOf(const std::string& service,
                           std::uint32_t shard) const {
  const auto found = services_.find(service);
  return found == services_.end()
             ? kIdleShardLoad
             : std::max(kIdleShardLoad, found->second.planner.LoadOf(shard));
}

LoadPlanner::Service& LoadPlanner::FindOrAdd(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end())
    return found->second;
  return services_.emplace(service, Service{Planner(service), std::nullopt})
      .first->second;
}

}  // namespace pollenrudder
