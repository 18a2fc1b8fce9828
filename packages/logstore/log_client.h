// Reads and appends records of the log service.

#ifndef POLLENRUDDER_LOGSTORE_LOG_CLIENT_H_
#define POLLENRUDDER_LOGSTORE_LOG_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/log_offset.h"
#include "base/metrics.h"
#include "logstore/http_connection.h"
#include "logstore/input_outbox.h"
#include "logstore/log_tail.h"
#include "logstore/relay_reader.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Long-polls the log, directly or through the parent in the reader tree, reads
// once on request, and appends records. Each record is delivered to `outbox`
// once and in order. LogRecordsRead::next decreases only if the log ends before
// the requested offset: the log has lost records, and the controller detects
// this by the lower offset. Used on the logstore thread only.
class LogClient {
 public:
  static constexpr std::chrono::milliseconds kPollWait{1000};
  // The parent may hold back a response without records for kRelayWait. One
  // that does not respond is detected after kRelayWait + kRelayTimeoutMargin.
  static constexpr std::chrono::milliseconds kRelayWait{400};
  static constexpr std::chrono::milliseconds kRelayTimeoutMargin{300};
  static constexpr std::chrono::milliseconds kReadTimeout{400};
  static constexpr std::chrono::milliseconds kAppendTimeout{1000};
  static constexpr std::chrono::milliseconds kRetryDelay{100};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{500};
  // A relayed read that is older than this shows that the parent does not read
  // the log, so the log is read directly. While the log responds, a read is at
  // most kPollWait + kReadTimeout old at the root, and up to 0.7 s older at
  // each of the two levels below it (kRelayWait and the way).
  static constexpr std::chrono::milliseconds kMaxRelayedAge{4000};
  // Time without relayed reads after the parent failed.
  static constexpr std::chrono::milliseconds kRelayRetryDelay{5000};
  static constexpr std::size_t kReadLimit = 1000;
  static constexpr std::size_t kMaxAppends = 16;
  static constexpr std::size_t kMaxQueuedAppends = 1024;

  // `relay` may be null, to always read directly. The referenced objects must
  // outlive this one.
  LogClient(const boost::asio::any_io_executor& executor,
            boost::asio::ip::tcp::endpoint endpoint,
            InputOutbox& outbox,
            Metrics& metrics,
            LogTail& tail,
            RelayReader* relay);

  // Starts the long poll at `next`, or moves it forward to `next`.
  void ReadFrom(LogOffset next);
  // Reads once, directly from the log, in addition to the long poll.
  void ReadNow();
  // Appends a record and delivers one AppendFinished.
  void Append(AppendRecord action);

  // Sets the peer address of the parent in the reader tree. If empty, the log
  // is read directly.
  void SetParent(const std::string& peer_address);

 private:
  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> ReadOnce();
  boost::asio::awaitable<void> AppendLoop(
      std::shared_ptr<HttpConnection> connection);
  boost::asio::awaitable<Result<LogRecordsRead>> ReadDirect(
      HttpConnection& connection,
      std::chrono::milliseconds wait,
      LogOffset from);
  boost::asio::awaitable<Result<LogRecordsRead>> ReadRelayed(std::string parent,
                                                             LogOffset from);
  boost::asio::awaitable<void> Pause(std::chrono::milliseconds delay);
  boost::asio::awaitable<void> PollRelay();
  boost::asio::awaitable<void> PollDirect();

  bool UseRelay() const;
  void SuspendRelay(const std::string& reason);
  // Delivers the records that have not been delivered before. `requested` is
  // the offset from which the read started.
  void Deliver(LogRecordsRead read, LogOffset requested);
  void ReportFailure(const Error& error);
  void CountBytes(const HttpConnection& connection,
                  std::size_t sent_before,
                  std::size_t received_before);
  void FinishAppend(const std::string& record_id,
                    const Result<HttpConnection::Response>& response);

  const boost::asio::any_io_executor executor_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  InputOutbox& outbox_;
  Metrics& metrics_;
  LogTail& tail_;
  RelayReader* const relay_;
  HttpConnection poll_connection_;
  HttpConnection read_connection_;
  boost::asio::steady_timer pause_timer_;
  std::minstd_rand random_;

  bool polling_ = false;
  bool reading_once_ = false;
  bool repeat_read_once_ = false;
  // The first offset that has not been delivered.
  LogOffset next_ = 1;
  bool log_available_ = true;
  std::chrono::milliseconds retry_delay_ = kRetryDelay;

  std::string parent_;
  BootTime relay_retry_at_;
  // Consecutive relayed responses that ended before the requested offset.
  int stale_responses_ = 0;
  bool using_relay_ = false;

  // Invariant: queued_appends_ is empty while idle_appenders_ is not.
  std::deque<AppendRecord> queued_appends_;
  std::size_t appenders_ = 0;
  std::vector<std::shared_ptr<HttpConnection>> idle_appenders_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOG_CLIENT_H_
