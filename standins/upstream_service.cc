// Request handling of the upstream stand-in.

#include "standins/upstream_service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::milliseconds kCancelCheckInterval{5};
constexpr std::size_t kMaxPadding = 8u << 20;
constexpr int kCrashExitCode = 70;

std::string Header(const HttpService::Request& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

std::uint64_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

UpstreamService::UpstreamService(asio::io_context& context)
    : HttpService(context), started_(BootMilliseconds()) {}

asio::awaitable<std::optional<HttpService::Response>> UpstreamService::Handle(
    const Request& request,
    Connection& connection) {
  const std::string_view path = RequestPath(request);
  if (path == "/pollenrudder/health")
    co_return co_await HandleHealth();
  if (path == "/pollenrudder/grant")
    co_return HandleGrant(request);
  co_return co_await Run(request, connection);
}

asio::awaitable<std::optional<HttpService::Response>>
UpstreamService::HandleHealth() {
  ++counts_["probes"];
  while (settings_.health == "hang")
    co_await Sleep(kCancelCheckInterval);
  const auto load = settings_.claimed_load < 0 ? static_cast<int>(running_)
                                               : settings_.claimed_load;
  co_return JsonResponse(settings_.health == "ok" ? 200 : 503,
                         json::object{{"load", load}});
}

HttpService::Response UpstreamService::HandleGrant(const Request& request) {
  ++counts_["grants"];
  const json::object body = JsonBody(request);
  const json::value* const fence = body.if_contains("fence");
  json::error_code error;
  const auto requested_fence =
      fence ? fence->to_number<std::uint64_t>(error) : 0;
  if (!fence || error)
    return EmptyResponse(400);
  if (settings_.checks_fence && requested_fence < granted_fence_)
    return RejectNotRun("fence");
  granted_fence_ = std::max(granted_fence_, requested_fence);
  return WithClockHeader(
      JsonResponse(200, json::object{{"fence", granted_fence_}}));
}

HttpService::Response UpstreamService::WithClockHeader(Response response) {
  response.set("Pollenrudder-Clock", std::to_string(BootMilliseconds()));
  return response;
}

asio::awaitable<std::optional<HttpService::Response>> UpstreamService::Run(
    const Request& request,
    Connection& connection) {
  const std::int64_t arrived = BootMilliseconds();
  ++counts_["requests"];
  if (settings_.shed > 0) {
    --settings_.shed;
    co_return RejectNotRun("shed");
  }
  co_await AcquireSlot();
  if (const char* const reason = FindRejectReason(request, arrived)) {
    ReleaseSlot();
    co_return RejectNotRun(reason);
  }
  const Execution execution{QueryParameter(request, "tag"),
                            Header(request, "Pollenrudder-Request-Id"),
                            Header(request, "Pollenrudder-Shard"),
                            ParseNumber(Header(request, "Pollenrudder-Fence")),
                            BootMilliseconds()};
  AppendToJournal(execution);
  if (!settings_.crash_body.empty() &&
      request.body().find(settings_.crash_body) != std::string::npos)
    std::_Exit(kCrashExitCode);
  const bool finished = co_await SimulateWork(connection);
  ReleaseSlot();
  if (!finished) {
    ++counts_["cancelled"];
    co_return std::nullopt;
  }
  co_return MakeResponse(request, execution);
}

asio::awaitable<void> UpstreamService::AcquireSlot() {
  if (running_ >= settings_.slots) {
    ++counts_["waited_for_slot"];
    asio::steady_timer timer(context(), asio::steady_timer::time_point::max());
    waiting_for_slot_.push_back(&timer);
    // ReleaseSlot() passes its slot to this request, so running_ stays the
    // same.
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return;
  }
  ++running_;
  max_running_ = std::max(max_running_, running_);
}

void UpstreamService::ReleaseSlot() {
  if (waiting_for_slot_.empty()) {
    --running_;
    return;
  }
  waiting_for_slot_.front()->cancel();
  waiting_for_slot_.pop_front();
}

asio::awaitable<bool> UpstreamService::SimulateWork(Connection& connection) {
  const bool is_cold =
      BootMilliseconds() - started_ < settings_.cold_ms.count();
  const std::int64_t end =
      BootMilliseconds() +
      settings_.service_ms.count() * (is_cold ? settings_.cold_factor : 1);
  for (std::int64_t now = BootMilliseconds(); now < end;
       now = BootMilliseconds()) {
    if (connection.IsClosedByCaller())
      co_return false;
    co_await Sleep(std::min<std::chrono::milliseconds>(
        kCancelCheckInterval, std::chrono::milliseconds(end - now)));
  }
  co_return true;
}

const char* UpstreamService::FindRejectReason(const Request& request,
                                              std::int64_t arrived) {
  const std::int64_t waited = BootMilliseconds() - arrived;
  const std::string deadline = Header(request, "Pollenrudder-Deadline");
  if (!deadline.empty() &&
      waited >= static_cast<std::int64_t>(ParseNumber(deadline)))
    return "deadline";
  if (!settings_.checks_fence)
    return nullptr;
  // Compared with this process's clock rather than the time since arrival,
  // because the request may have waited in the socket buffer.
  const std::string run_before = Header(request, "Pollenrudder-Run-Before");
  if (!run_before.empty() &&
      BootMilliseconds() >= static_cast<std::int64_t>(ParseNumber(run_before)))
    return "run_before";
  const std::uint64_t fence =
      ParseNumber(Header(request, "Pollenrudder-Fence"));
  std::uint64_t& newest_fence =
      shard_fences_[Header(request, "Pollenrudder-Shard")];
  if (fence < newest_fence || fence < granted_fence_)
    return "fence";
  newest_fence = fence;
  return nullptr;
}

HttpService::Response UpstreamService::RejectNotRun(const char* reason) {
  ++counts_[std::string("refused_") + reason];
  Response response = EmptyResponse(503);
  response.set("Pollenrudder-Not-Run", "1");
  return WithClockHeader(std::move(response));
}

std::optional<HttpService::Response> UpstreamService::MakeResponse(
    const Request& request,
    const Execution& execution) {
  ++counts_["answered"];
  json::object body{{"upstream", settings_.name},
                    {"tag", execution.tag},
                    {"shard", execution.shard},
                    {"fence", execution.fence},
                    {"body_bytes", request.body().size()}};
  const auto padding = std::min<std::size_t>(
      ParseNumber(QueryParameter(request, "pad")), kMaxPadding);
  if (padding > 0)
    body["pad"] = std::string(padding, 'x');
  Response response = WithClockHeader(JsonResponse(200, body));
  std::string id = execution.request_id;
  if (settings_.swap > 0 && !previous_body_.empty()) {
    --settings_.swap;
    std::swap(response.body(), previous_body_);
    std::swap(id, previous_id_);
  } else {
    previous_body_ = response.body();
    previous_id_ = id;
  }
  if (settings_.echoes_request_id && !id.empty())
    response.set("Pollenrudder-Request-Id", id);
  if (settings_.truncate > 0) {
    --settings_.truncate;
    response.content_length(response.body().size());
    response.body().resize(response.body().size() / 2);
    // Closes the connection before the declared length is sent.
    response.set("Connection", "close");
  }
  return response;
}

HttpService::Response UpstreamService::HandleControl(const Request& request) {
  if (RequestPath(request) != "/standin/counts")
    return EmptyResponse(404);
  json::object counts;
  for (const auto& [name, count] : counts_)
    counts[name] = count;
  counts["running"] = running_;
  counts["max_running"] = max_running_;
  counts["open_connections"] = open_connections_;
  counts["granted_fence"] = granted_fence_;
  return JsonResponse(200, counts);
}

void UpstreamService::AppendToJournal(const Execution& execution) {
  ++counts_["executions"];
  if (settings_.journal.empty())
    return;
  if (!journal_.is_open())
    journal_.open(settings_.journal, std::ios::app);
  journal_ << execution.tag << '\t' << execution.request_id << '\t'
           << execution.shard << '\t' << execution.fence << '\t'
           << execution.started << std::endl;
}

void UpstreamService::ApplySettings(const json::object& settings) {
  HttpService::ApplySettings(settings);
  settings_.Apply(settings);
}

bool UpstreamService::AdmitConnection() {
  if (open_connections_ >= settings_.connections) {
    ++counts_["connections_refused"];
    return false;
  }
  ++open_connections_;
  return true;
}

void UpstreamService::OnConnectionClosed() {
  --open_connections_;
}

}  // namespace pollenrudder
