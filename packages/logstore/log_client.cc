// LogClient, implemented as coroutines on the logstore thread.

#include "logstore/log_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "logstore/logstore_events.h"
#include "logstore/logstore_messages.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kMaxStaleResponses = 3;

bool IsOk(const HttpConnection::Response& response) {
  return response.result() == http::status::ok;
}

}  // namespace

LogClient::LogClient(const asio::any_io_executor& executor,
                     asio::ip::tcp::endpoint endpoint,
                     InputOutbox& outbox,
                     Metrics& metrics,
                     LogTail& tail,
                     RelayReader* relay)
    : executor_(executor),
      endpoint_(std::move(endpoint)),
      outbox_(outbox),
      metrics_(metrics),
      tail_(tail),
      relay_(relay),
      poll_connection_(executor, endpoint_),
      read_connection_(executor, endpoint_),
      pause_timer_(executor),
      random_(std::random_device()()) {}

void LogClient::ReadFrom(LogOffset next) {
  next_ = std::max(next_, next);
  if (polling_)
    return;
  polling_ = true;
  asio::co_spawn(executor_, PollLoop(), asio::detached);
}

void LogClient::ReadNow() {
  if (reading_once_) {
    // The read in progress started before this call, so its proof time is too
    // early.
    repeat_read_once_ = true;
    return;
  }
  reading_once_ = true;
  asio::co_spawn(executor_, ReadOnce(), asio::detached);
}

void LogClient::Append(AppendRecord action) {
  if (queued_appends_.size() >= kMaxQueuedAppends) {
    outbox_.Deliver(AppendFinished{std::move(action.record_id), false});
    return;
  }
  queued_appends_.push_back(std::move(action));
  std::shared_ptr<HttpConnection> connection;
  if (!idle_appenders_.empty()) {
    connection = std::move(idle_appenders_.back());
    idle_appenders_.pop_back();
  } else if (appenders_ < kMaxAppends) {
    ++appenders_;
    connection = std::make_shared<HttpConnection>(executor_, endpoint_);
  } else {
    return;
  }
  asio::co_spawn(executor_, AppendLoop(std::move(connection)), asio::detached);
}

void LogClient::SetParent(const std::string& peer_address) {
  if (peer_address == parent_)
    return;
  parent_ = peer_address;
  relay_retry_at_ = {};
}

asio::awaitable<void> LogClient::PollLoop() {
  for (;;) {
    while (outbox_.backlog() > 0)
      co_await Pause(std::chrono::milliseconds(5));
    if (UseRelay())
      co_await PollRelay();
    else
      co_await PollDirect();
  }
}

asio::awaitable<void> LogClient::PollDirect() {
  if (using_relay_) {
    using_relay_ = false;
    EventLog::Write(kLogSourceChanged, {{"source", "log"}});
  }
  const LogOffset requested = next_;
  Result<LogRecordsRead> read =
      co_await ReadDirect(poll_connection_, kPollWait, requested);
  if (read) {
    retry_delay_ = kRetryDelay;
    Deliver(std::move(read).assume_value(), requested);
    co_return;
  }
  ReportFailure(read.assume_error());
  // The jitter prevents all instances from reading at the same moment when the
  // log is available again.
  std::uniform_int_distribution<std::int64_t> jitter(retry_delay_.count() / 2,
                                                     retry_delay_.count());
  co_await Pause(std::chrono::milliseconds(jitter(random_)));
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
}

asio::awaitable<void> LogClient::PollRelay() {
  if (!using_relay_) {
    using_relay_ = true;
    EventLog::Write(kLogSourceChanged,
                    {{"source", "peer"}, {"address", parent_}});
  }
  const LogOffset requested = next_;
  Result<LogRecordsRead> read = co_await ReadRelayed(parent_, requested);
  if (!read) {
    SuspendRelay(read.assume_error().message);
    co_return;
  }
  if (read.assume_value().next >= requested) {
    stale_responses_ = 0;
    const bool recent =
        BootClock::now() - read.assume_value().proof_time <= kMaxRelayedAge;
    Deliver(std::move(read).assume_value(), requested);
    if (!recent)
      SuspendRelay("the peer has not read the log recently");
    co_return;
  }
  if (++stale_responses_ >= kMaxStaleResponses)
    SuspendRelay("the peer is behind in reading the log");
  else
    co_await Pause(kRetryDelay);
}

asio::awaitable<void> LogClient::ReadOnce() {
  do {
    repeat_read_once_ = false;
    const LogOffset requested = next_;
    Result<LogRecordsRead> read = co_await ReadDirect(
        read_connection_, std::chrono::milliseconds(0), requested);
    if (read)
      Deliver(std::move(read).assume_value(), requested);
    else
      ReportFailure(read.assume_error());
  } while (repeat_read_once_);
  reading_once_ = false;
}

asio::awaitable<void> LogClient::AppendLoop(
    std::shared_ptr<HttpConnection> connection) {
  while (!queued_appends_.empty()) {
    const AppendRecord action = std::move(queued_appends_.front());
    queued_appends_.pop_front();
    const std::size_t sent = connection->bytes_sent();
    const std::size_t received = connection->bytes_received();
    const Result<HttpConnection::Response> response = co_await connection->Post(
        "/v1/append", AppendBody(action.data), kAppendTimeout);
    CountBytes(*connection, sent, received);
    FinishAppend(action.record_id, response);
  }
  idle_appenders_.push_back(std::move(connection));
}

void LogClient::FinishAppend(const std::string& record_id,
                             const Result<HttpConnection::Response>& response) {
  AppendFinished finished{record_id, false, kNoOffset};
  std::string reason;
  if (!response) {
    reason = response.assume_error().message;
  } else if (!IsOk(response.assume_value())) {
    reason = "status " + std::to_string(response.assume_value().result_int());
  } else if (const auto offset =
                 ParseAppendResponse(response.assume_value().body())) {
    finished.confirmed = true;
    finished.offset = offset.assume_value();
  } else {
    reason = offset.assume_error().message;
  }
  metrics_.Count(
      "pollenrudder_log_appends_total",
      finished.confirmed ? "result=\"confirmed\"" : "result=\"unconfirmed\"");
  if (!finished.confirmed) {
    EventLog::Write(kAppendUnconfirmed,
                    {{"record", record_id}, {"reason", reason}});
  }
  outbox_.Deliver(std::move(finished));
}

asio::awaitable<Result<LogRecordsRead>> LogClient::ReadDirect(
    HttpConnection& connection,
    std::chrono::milliseconds wait,
    LogOffset from) {
  const BootTime proof_time = BootClock::now();
  const std::size_t sent = connection.bytes_sent();
  const std::size_t received = connection.bytes_received();
  const Result<HttpConnection::Response> response = co_await connection.Get(
      RecordsTarget(from, kReadLimit, wait), {}, wait + kReadTimeout);
  CountBytes(connection, sent, received);
  if (!response)
    co_return response.assume_error();
  if (!IsOk(response.assume_value())) {
    co_return MakeError(
        ErrorKind::kLogUnavailable,
        "status " + std::to_string(response.assume_value().result_int()));
  }
  Result<LogRecordsRead> read =
      ParseRecords(response.assume_value().body(), from, kReadLimit);
  if (read) {
    read.assume_value().proof_time = proof_time;
    metrics_.Count("pollenrudder_log_reads_total", "source=\"log\"");
    if (!log_available_) {
      log_available_ = true;
      EventLog::Write(kLogAvailable, {{"next", read.assume_value().next}});
    }
  }
  co_return read;
}

asio::awaitable<Result<LogRecordsRead>> LogClient::ReadRelayed(
    std::string parent,
    LogOffset from) {
  // The callback runs on another thread and posts the result to this one.
  auto initiate = [this, &parent, from](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    relay_->ReadTail(
        parent, from, kRelayWait,
        [shared, executor = executor_](Result<LogRecordsRead> read) {
          asio::post(executor, [shared, read = std::move(read)]() mutable {
            std::move (*shared)(std::move(read));
          });
        });
  };
  Result<LogRecordsRead> read =
      co_await asio::async_initiate<decltype(asio::use_awaitable),
                                    void(Result<LogRecordsRead>)>(
          initiate, asio::use_awaitable);
  if (read)
    metrics_.Count("pollenrudder_log_reads_total", "source=\"peer\"");
  co_return read;
}

asio::awaitable<void> LogClient::Pause(std::chrono::milliseconds delay) {
  pause_timer_.expires_after(delay);
  co_await pause_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

bool LogClient::UseRelay() const {
  return relay_ && !parent_.empty() && BootClock::now() >= relay_retry_at_;
}

void LogClient::SuspendRelay(const std::string& reason) {
  relay_retry_at_ = BootClock::now() + kRelayRetryDelay;
  stale_responses_ = 0;
  using_relay_ = false;
  EventLog::Write(kLogSourceChanged, {{"source", "log"}, {"reason", reason}});
  metrics_.Count("pollenrudder_log_relay_failures_total");
}

void LogClient::Deliver(LogRecordsRead read, LogOffset requested) {
  if (read.next < requested) {
    outbox_.Deliver(std::move(read));
    return;
  }
  const auto first_new = std::find_if(
      read.records.begin(), read.records.end(),
      [this](const RawLogRecord& record) { return record.offset >= next_; });
  read.records.erase(read.records.begin(), first_new);
  // A response that ends before next_ still proves that the records up to next_
  // include all those appended before its proof time.
  read.next = std::max(read.next, next_);
  next_ = read.next;
  tail_.Add(read);
  outbox_.Deliver(std::move(read));
}

void LogClient::ReportFailure(const Error& error) {
  metrics_.Count("pollenrudder_log_read_failures_total");
  if (log_available_) {
    log_available_ = false;
    EventLog::Write(kLogUnavailable, {{"reason", error.message}});
  }
  // A failure contains no data and is dropped while the ring is full.
  if (outbox_.backlog() == 0)
    outbox_.Deliver(LogReadFailed{error.message});
}

void LogClient::CountBytes(const HttpConnection& connection,
                           std::size_t sent_before,
                           std::size_t received_before) {
  metrics_.Count("pollenrudder_logstore_bytes_total",
                 "system=\"log\",direction=\"out\"",
                 connection.bytes_sent() - sent_before);
  metrics_.Count("pollenrudder_logstore_bytes_total",
                 "system=\"log\",direction=\"in\"",
                 connection.bytes_received() - received_before);
}

}  // namespace pollenrudder
