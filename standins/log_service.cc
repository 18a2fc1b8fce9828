// Log records in memory, with long polls of readers.

#include "standins/log_service.h"

#include <algorithm>
#include <cstdlib>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::uint64_t kMaxLimit = 10000;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::uint64_t ParseNumber(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

asio::awaitable<std::optional<HttpService::Response>> LogService::Handle(
    const Request& request,
    Connection& connection) {
  Traffic& traffic = traffic_[connection.listener];
  const std::string_view path = RequestPath(request);
  if (path == "/v1/append" && request.method() == http::verb::post)
    co_return Append(request, traffic);
  if (path == "/v1/records" && request.method() == http::verb::get)
    co_return co_await Read(request, connection, traffic);
  co_return EmptyResponse(404);
}

std::optional<HttpService::Response> LogService::Append(const Request& request,
                                                        Traffic& traffic) {
  const json::object body = JsonBody(request);
  const json::value* const data = body.if_contains("data");
  if (!data || !data->is_string())
    return EmptyResponse(400);
  if (!AdmitAppend())
    return EmptyResponse(429);
  const std::uint64_t offset = next_offset();
  records_.emplace_back(data->get_string());
  ++traffic.appends;
  if (records_.size() > retention_) {
    records_.pop_front();
    ++first_retained_;
  }
  for (asio::steady_timer* const reader : waiting_readers_)
    reader->cancel();
  if (responses_to_drop_ > 0) {
    --responses_to_drop_;
    return std::nullopt;
  }
  return JsonResponse(200, json::object{{"offset", offset}});
}

asio::awaitable<std::optional<HttpService::Response>> LogService::Read(
    const Request& request,
    Connection& connection,
    Traffic& traffic) {
  ++traffic.reads;
  const std::uint64_t from = std::max<std::uint64_t>(
      ParseNumber(QueryParameter(request, "from"), 1), 1);
  const std::uint64_t limit = std::min(
      ParseNumber(QueryParameter(request, "limit"), kMaxLimit), kMaxLimit);
  const auto wait = std::chrono::milliseconds(
      ParseNumber(QueryParameter(request, "wait_ms"), 0));
  asio::steady_timer timer(context(), wait);
  while (from == next_offset() &&
         timer.expiry() > asio::steady_timer::clock_type::now() &&
         !ShouldHang(connection.listener)) {
    waiting_readers_.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_readers_.erase(&timer);
  }
  json::array records;
  for (std::uint64_t offset = std::max(from, first_retained_);
       offset < next_offset() && records.size() < limit; ++offset) {
    const std::string& data = records_[offset - first_retained_];
    traffic.record_bytes += data.size();
    records.push_back(json::object{{"offset", offset}, {"data", data}});
  }
  traffic.records += records.size();
  const std::uint64_t response_next_offset =
      records.empty() ? next_offset()
                      : std::max(from, first_retained_) + records.size();
  co_return JsonResponse(200, json::object{{"first", first_retained_},
                                           {"next", response_next_offset},
                                           {"records", std::move(records)}});
}

bool LogService::AdmitAppend() {
  if (append_rate_ == 0)
    return true;
  const std::int64_t window = BootMilliseconds() / kMillisecondsPerSecond;
  if (window != rate_window_) {
    rate_window_ = window;
    appends_in_window_ = 0;
  }
  return ++appends_in_window_ <= append_rate_;
}

HttpService::Response LogService::HandleControl(const Request& request) {
  if (RequestPath(request) != "/standin/counts")
    return EmptyResponse(404);
  json::object counts;
  for (const auto& [name, traffic] : traffic_) {
    counts[name] = json::object{{"appends", traffic.appends},
                                {"reads", traffic.reads},
                                {"records", traffic.records},
                                {"record_bytes", traffic.record_bytes}};
  }
  counts["next"] = next_offset();
  return JsonResponse(200, counts);
}

void LogService::ApplySettings(const json::object& settings) {
  HttpService::ApplySettings(settings);
  if (const json::value* const value = settings.if_contains("retention"))
    retention_ = value->to_number<std::size_t>();
  if (const json::value* const value = settings.if_contains("append_rate"))
    append_rate_ = value->to_number<int>();
  if (const json::value* const value = settings.if_contains("lose_answers"))
    responses_to_drop_ = value->to_number<int>();
  if (settings.contains("restart_empty")) {
    records_.clear();
    first_retained_ = 1;
  }
  // Wakes up readers to check the changed faults.
  for (asio::steady_timer* const reader : waiting_readers_)
    reader->cancel();
}

}  // namespace pollenrudder
