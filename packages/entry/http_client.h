// One HTTP/1.1 client connection.

#ifndef POLLENRUDDER_ENTRY_HTTP_CLIENT_H_
#define POLLENRUDDER_ENTRY_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/boot_clock.h"
#include "base/memory_account.h"
#include "entry/response_budget.h"
#include "entry/response_match.h"
#include "http/http_message.h"
#include "http/http_parser.h"

namespace pollenrudder {

// How a call ended.
enum class HttpCallResult {
  kAnswered,
  // The connection was refused: no process listens there, or a partition
  // refuses.
  kRefused,
  // The connection could not be opened in time, or for another reason. Nothing
  // was sent.
  kNotConnected,
  // CallOptions::may_send returned false. Nothing was sent. The connection
  // stays open if CallOptions::stays_open_if_not_sent is set.
  kNotSent,
  // The connection was lost after bytes may have been sent.
  kConnectionLost,
  // The response is malformed or incomplete.
  kInvalidResponse,
  kTimedOut,
};

// Opens a connection with the first call and carries one call at a time. A
// client is not reusable after a failure, unless the connection stays open, or
// if the server will close the connection.
//
//   auto client = HttpClient::Create(io, endpoint);
//   client->Call(bytes, options,
//                [](HttpCallResult result, HttpResponse& response) {});
//
// The handler is called once, never from within Call(). Abort() ends a call
// without calling it.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  struct CallOptions {
    // Sent after the bytes of the request, and kept until it is written.
    std::shared_ptr<const std::string> body;
    std::chrono::nanoseconds timeout = std::chrono::seconds(1);
    // If set, a response that has begun to arrive may take longer than
    // `timeout`, as long as more bytes arrive within this time.
    std::chrono::nanoseconds progress_timeout{0};
    // Timeout for opening the connection.
    std::chrono::nanoseconds connect_timeout = std::chrono::seconds(1);
    bool head_request = false;
    // Whether a body without a length may end with the connection. Such a body
    // is whole if the server closed its side, and broken off if the connection
    // was reset.
    CloseDelimited close_delimited = CloseDelimited::kRefuse;
    // Decides whether a response belongs to this call; others are skipped. If
    // unset, every response is accepted.
    std::function<ResponseMatch(const HttpResponse&)> match;
    // Whether a response that names no call ends the connection.
    bool ends_when_unidentified = false;
    // Called right before the request is written; false ends the call with
    // kNotSent. If unset, the request is sent.
    std::function<bool()> may_send;
    // Whether the connection stays open if the call is not sent.
    bool stays_open_if_not_sent = false;
    // Resets the connection on a timeout, so that bytes in flight do not
    // arrive.
    bool reset_on_timeout = false;
    std::uint64_t body_limit = 64 << 20;
    // If set, the response is given up when this is exhausted. Must outlive the
    // client.
    ResponseBudget* response_budget = nullptr;
    // If set, the bytes of the response are charged to it while it is received,
    // and the response is given up if they do not fit.
    std::shared_ptr<MemoryAccount> memory;
  };
  using Handler = std::function<void(HttpCallResult, HttpResponse&)>;

  static std::shared_ptr<HttpClient> Create(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& endpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request`, which may be followed by CallOptions::body.
  // Precondition: IsReusable().
  void Call(std::string request, CallOptions options, Handler handler);
  // Ends the call, if any, without calling its handler, and closes the
  // connection. A call that has a budget must end before that is destroyed.
  void Abort();

  // Returns whether no call is in progress and the connection, if any, can
  // carry another one.
  bool IsReusable() const { return !handler_ && !unusable_; }
  bool IsConnected() const { return connected_; }
  // When the connection was established.
  BootTime connected_at() const { return connected_at_; }
  // Whether a response named no call. A late copy of it could pass for the
  // response to a later call.
  bool has_unidentified_response() const { return has_unidentified_response_; }
  // Whether a part of the response to the call in progress has arrived.
  bool IsReceiving() const { return handler_ && parser_ && parser_->started(); }
  // When the last response began to arrive, and when it was complete.
  BootTime response_started_at() const { return response_started_at_; }
  BootTime last_response_time() const { return last_response_time_; }
  // When the server closes the idle connection, if it announced that.
  BootTime idle_deadline() const { return idle_deadline_; }

 private:
  HttpClient(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& endpoint);

  void ArmTimer(std::chrono::nanoseconds timeout);
  void Connect();
  void Write();
  void Read();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void OnTimeout();
  void Finish(HttpCallResult result);
  void FinishResponse();
  // Whether the response ends with the connection, of which `error` was read.
  bool IsEndedBy(boost::system::error_code error);
  // Counts received bytes; returns false if the response has to be given up.
  bool TryAddReceived(std::size_t bytes);
  void ReleaseReceived();
  // Closes the connection when the server does or sends unexpected bytes.
  void WatchIdle();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<HttpResponseParser> parser_;
  std::string request_;
  CallOptions options_;
  // Bytes of the response in progress, as counted in the budget.
  std::size_t received_bytes_ = 0;
  // The same bytes, if the call has an account.
  std::optional<MemoryAccount::Charge> memory_charge_;
  // Responses to earlier calls that arrived during this one.
  int skipped_responses_ = 0;
  // Set while a call is in progress.
  Handler handler_;
  // Distinguishes the events of the current call from those of earlier ones.
  std::uint64_t call_id_ = 0;
  bool connected_ = false;
  bool reading_ = false;
  // Invariant: request_ and options_.body do not change while this is set.
  bool writing_ = false;
  bool write_started_ = false;
  bool write_failed_ = false;
  bool unusable_ = false;
  bool has_unidentified_response_ = false;
  BootTime connected_at_{};
  BootTime response_started_at_{};
  BootTime last_response_time_{};
  BootTime idle_deadline_ = BootTime::max();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_CLIENT_H_
