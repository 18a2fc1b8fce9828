// Builds the JSON and metrics responses of the admin port.

#include "pollenrudderd/admin_requests.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "base/event_log.h"
#include "callers/key_extractor.h"
#include "routing/shard_of.h"

namespace pollenrudder {
namespace {

AdminResponse MakeErrorResponse(int status, std::string_view message) {
  AdminResponse response;
  response.http_status = status;
  response.body =
      boost::json::serialize(boost::json::object{{"error", message}}) + "\n";
  return response;
}

// Returns the upstream with its term and leader, to which requests are routed.
boost::json::object DescribeUpstream(const RoutedUpstream& upstream) {
  return {{"upstream", upstream.name},
          {"address", upstream.address},
          {"zone", upstream.zone},
          {"leaving", upstream.leaving},
          {"term", upstream.term},
          {"leader", upstream.leader},
          {"leader_zone", upstream.leader_zone},
          {"leader_address", upstream.leader_address}};
}

}  // namespace

AdminRequests::AdminRequests(ControlThread& control,
                             const RoutingTableHolder& tables,
                             Metrics& metrics)
    : control_(control), tables_(tables), metrics_(metrics) {}

AdminResponse AdminRequests::HandleAdminRequest(std::string_view target) {
  const std::string_view path = PathOf(target);
  if (path == "/status")
    return Status();
  if (path == "/health")
    return Health();
  if (path == "/metrics")
    return RenderMetrics();
  if (path == "/route")
    return Route(target);
  return MakeErrorResponse(404, "no such page");
}

AdminResponse AdminRequests::Status() {
  AdminResponse response;
  response.body = control_.ReadStatus();
  if (response.body.empty())
    return MakeErrorResponse(503, "the control thread does not answer");
  return response;
}

AdminResponse AdminRequests::Health() const {
  const RoutingTablePointer table = tables_.Load();
  if (!table)
    return MakeErrorResponse(503, "no routing table yet");
  AdminResponse response;
  response.body = boost::json::serialize(boost::json::object{
                      {"status", "ok"}, {"table", table->offset}}) +
                  "\n";
  return response;
}

AdminResponse AdminRequests::RenderMetrics() {
  const RoutingTablePointer table = tables_.Load();
  metrics_.Set("pollenrudder_table_offset", {},
               table ? static_cast<double>(table->offset) : 0);
  metrics_.Set("pollenrudder_log_lines_dropped", {},
               static_cast<double>(EventLog::dropped_lines()));
  AdminResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = metrics_.Render();
  return response;
}

AdminResponse AdminRequests::Route(std::string_view target) const {
  const RoutingTablePointer table = tables_.Load();
  const auto name = FindQueryParameter(target, "service");
  const RoutedService* const service =
      table && name ? table->FindService(*name) : nullptr;
  if (!service)
    return MakeErrorResponse(404, "unknown service");
  boost::json::object route{{"service", *name}, {"table", table->offset}};
  if (service->settings.is_sharded) {
    const auto key = FindQueryParameter(target, "key");
    if (!key || key->empty())
      return MakeErrorResponse(400,
                               "the service is divided by key; key is missing");
    const std::uint32_t shard = ShardOf(*key, service->settings.shards);
    route["shard"] = shard;
    const std::uint32_t owner = shard < service->shard_owners.size()
                                    ? service->shard_owners[shard]
                                    : RoutedService::kNoUpstream;
    if (owner != RoutedService::kNoUpstream) {
      const RoutedUpstream& upstream = table->upstreams[owner];
      route["epoch"] =
          std::max(service->shard_offsets[shard], upstream.leader_fence);
      route["owner"] = DescribeUpstream(upstream);
    } else {
      route["owner"] = nullptr;
    }
  } else {
    boost::json::array upstreams;
    for (const std::uint32_t index : service->upstreams)
      upstreams.push_back(DescribeUpstream(table->upstreams[index]));
    route["upstreams"] = std::move(upstreams);
  }
  AdminResponse response;
  response.body = boost::json::serialize(route) + "\n";
  return response;
}

}  // namespace pollenrudder
