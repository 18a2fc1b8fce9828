// Formats the state of a Controller as JSON.

#include "ownership/status_report.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/json.hpp>

#include "ownership/json_fields.h"
#include "ownership/log_record.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

std::int64_t Milliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

json::object ReportLog(const ControlContext& context,
                       const CheckpointWriter& checkpoints,
                       const Now& now) {
  json::object log;
  log["applied"] = context.table().applied();
  log["checkpoint"] = checkpoints.checkpoint_offset();
  log["regressed"] = context.replay.regressed();
  log["seeking_checkpoint"] = context.replay.seeking_checkpoint();
  log["malformed_records"] = context.replay.malformed_records();
  log["unsupported_records"] = context.replay.unsupported_records();
  log["changes_stopped"] = context.replay.changes_stopped();
  log["unresolved_appends"] = context.appender.size();
  if (context.last_proof_time)
    log["proof_age_ms"] = Milliseconds(now.boot - *context.last_proof_time);
  else
    log["proof_age_ms"] = nullptr;
  return log;
}

json::array ReportSections(const OwnershipTable& table) {
  json::array sections;
  for (const auto& [team, version] : table.state().sections)
    sections.push_back(
        json::object{{"team", team}, {"offset", version.offset}});
  return sections;
}

json::object ReportUpstream(const TermState& term,
                            const ControlContext& context,
                            const LeaseManager& leases,
                            const MoveManager& moves,
                            const TargetChooser& targets,
                            const Now& now) {
  json::object upstream{
      {"name", term.upstream},
      {"service", term.service},
      {"zone", term.zone},
      {"address", term.address},
      {"term", term.term},
      {"kind", TermKindName(term.kind)},
      {"fence", term.leader_fence},
      {"leader", term.leader},
      {"leader_zone", term.leader_zone},
      {"active", term.active},
      {"voters", EncodeVoters(term.voters)},
      {"isolation_hold_ms", Milliseconds(term.isolation_hold)},
      {"stopping", context.stops.IsUpstreamStopping(term.upstream)},
      {"shards", context.table().ShardsOf(term.upstream).size()}};
  if (const LeaderLease* lease = leases.Find(term.upstream)) {
    const std::chrono::nanoseconds remaining =
        std::max(lease->ValidUntil() - now.boot, std::chrono::nanoseconds(0));
    upstream["lease_ms"] =
        lease->active(now.boot) ? Milliseconds(remaining) : 0;
    upstream["lost"] = targets.IsLost(term.upstream);
    upstream["moving_shards"] = moves.MovingShards(term.upstream);
  }
  return upstream;
}

json::array ReportServices(const OwnershipTable& table) {
  json::array services;
  for (const auto& [team, section] : table.document().sections()) {
    for (const ServiceSettings& service : section.services) {
      json::object report{{"name", service.name}, {"team", team}};
      if (service.is_sharded) {
        const std::vector<ShardState>* shards = table.FindShards(service.name);
        const std::ptrdiff_t placed =
            shards ? std::count_if(shards->begin(), shards->end(),
                                   [](const ShardState& shard) {
                                     return shard.has_owner();
                                   })
                   : 0;
        report["shards"] = service.shards;
        report["unplaced_shards"] = service.shards - placed;
      }
      services.push_back(std::move(report));
    }
  }
  return services;
}

}  // namespace

std::string ReportStatus(const ControlContext& context,
                         const LeaseManager& leases,
                         const MoveManager& moves,
                         const TargetChooser& targets,
                         const CheckpointWriter& checkpoints,
                         const Now& now) {
  json::array upstreams;
  for (const auto& [name, term] : context.table().state().terms) {
    upstreams.push_back(
        ReportUpstream(term, context, leases, moves, targets, now));
  }
  const json::object status{{"instance", context.self()},
                            {"zone", context.options.zone},
                            {"region", context.options.region},
                            {"leaving", context.leaving},
                            {"log", ReportLog(context, checkpoints, now)},
                            {"sections", ReportSections(context.table())},
                            {"services", ReportServices(context.table())},
                            {"upstreams", std::move(upstreams)}};
  return json::serialize(status);
}

}  // namespace pollenrudder
