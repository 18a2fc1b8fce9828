// InstanceListClient, implemented as a coroutine on the logstore thread.

#include "logstore/instance_list_client.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "logstore/logstore_events.h"
#include "logstore/logstore_messages.h"

namespace pollenrudder {

namespace asio = boost::asio;
namespace http = boost::beast::http;

InstanceListClient::InstanceListClient(const asio::any_io_executor& executor,
                                       asio::ip::tcp::endpoint endpoint,
                                       Metrics& metrics,
                                       Callback on_change)
    : executor_(executor),
      connection_(executor, std::move(endpoint)),
      timer_(executor),
      metrics_(metrics),
      on_change_(std::move(on_change)) {}

void InstanceListClient::Start() {
  asio::co_spawn(executor_, PollLoop(), asio::detached);
}

asio::awaitable<void> InstanceListClient::PollLoop() {
  for (;;) {
    timer_.expires_after(kInterval);
    const Result<void> polled = co_await PollOnce();
    SetAvailable(polled.has_value(),
                 polled ? std::string() : polled.assume_error().message);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<Result<void>> InstanceListClient::PollOnce() {
  const std::size_t sent = connection_.bytes_sent();
  const std::size_t received = connection_.bytes_received();
  const Result<HttpConnection::Response> fetched =
      co_await connection_.Get("/v1/instances", entity_tag_, kTimeout);
  metrics_.Count("pollenrudder_logstore_bytes_total",
                 "system=\"instance_list\",direction=\"out\"",
                 connection_.bytes_sent() - sent);
  metrics_.Count("pollenrudder_logstore_bytes_total",
                 "system=\"instance_list\",direction=\"in\"",
                 connection_.bytes_received() - received);
  if (!fetched)
    co_return fetched.assume_error();
  const HttpConnection::Response& response = fetched.assume_value();
  if (response.result() == http::status::not_modified)
    co_return Result<void>(boost::outcome_v2::success());
  if (response.result() != http::status::ok) {
    co_return MakeError(ErrorKind::kLogUnavailable,
                        "status " + std::to_string(response.result_int()));
  }
  Result<InstanceListRead> read = ParseInstances(response.body(), instances_);
  if (!read)
    co_return read.assume_error();
  CountMalformedEntries(read.assume_value().malformed_entries);
  std::vector<ListedInstance>& instances = read.assume_value().instances;
  entity_tag_ = response[http::field::etag];
  if (!has_reported_ || instances != instances_) {
    has_reported_ = true;
    instances_ = std::move(instances);
    on_change_(instances_);
  }
  co_return Result<void>(boost::outcome_v2::success());
}

void InstanceListClient::CountMalformedEntries(std::size_t count) {
  metrics_.Count("pollenrudder_instance_list_malformed_entries_total", "",
                 count);
  if (count != malformed_entries_ && count > 0)
    EventLog::Write(kInstanceListEntriesMalformed, {{"entries", count}});
  malformed_entries_ = count;
}

void InstanceListClient::SetAvailable(bool available,
                                      const std::string& reason) {
  if (available == available_)
    return;
  available_ = available;
  if (available)
    EventLog::Write(kInstanceListAvailable, {});
  else
    EventLog::Write(kInstanceListUnavailable, {{"reason", reason}});
}

}  // namespace pollenrudder
