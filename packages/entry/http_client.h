// One client connection of HTTP/1.1.

#ifndef POLLENRUDDER_ENTRY_HTTP_CLIENT_H_
#define POLLENRUDDER_ENTRY_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/boot_clock.h"
#include "http/http_message.h"
#include "http/http_parser.h"

namespace pollenrudder {

// How a call over a link ended.
enum class HttpCallResult {
  kAnswered,
  // The connection was refused: nothing listens there, or a partition refuses.
  kRefused,
  // The connection could not be opened in time, or otherwise. Nothing was sent.
  kNotConnected,
  // Ended after bytes may have been sent.
  kConnectionLost,
  // The bytes are no answer, or not a whole one.
  kInvalidResponse,
  kTimedOut,
};

// Opens a connection with the first call and carries one call at a time. A link
// that failed, or whose other side will close it, is not reusable.
//
//   auto link = HttpClient::Create(io, endpoint);
//   link->Call(bytes, options, [](HttpCallResult result, HttpResponse& answer)
//   {});
//
// The handler is called once, never from within Call(). Abort() ends a call
// without calling it.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  struct CallOptions {
    std::chrono::nanoseconds timeout = std::chrono::seconds(1);
    // If set, an answer that has begun to arrive may take longer than
    // `timeout`, as long as more of it comes within this time.
    std::chrono::nanoseconds progress_timeout{0};
    // For the connection alone.
    std::chrono::nanoseconds connect_timeout = std::chrono::seconds(1);
    bool head_request = false;
    // Returns whether an answer belongs to this call; others are passed over.
    // None means that all do.
    std::function<bool(const HttpResponse&)> accepts_response;
    // Asked right before the request is written; false ends the call with
    // kNotConnected. None means that it may be sent.
    std::function<bool()> may_send;
    // On a time-out, bytes that are still on their way must not arrive.
    bool reset_on_timeout = false;
    std::uint64_t body_limit = 64 << 20;
  };
  using Handler = std::function<void(HttpCallResult, HttpResponse&)>;

  static std::shared_ptr<HttpClient> Create(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& endpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Precondition: IsReusable().
  void Call(std::string request, CallOptions options, Handler handler);
  // Ends the call, if any, without its handler, and closes the connection.
  void Abort();

  // No call is open and the connection, if any, can carry another one.
  bool IsReusable() const { return !handler_ && !failed_; }
  bool IsConnected() const { return connected_; }
  // When the last answer arrived.
  BootTime last_response_time() const { return last_answer_; }
  // When the other side closes the idle connection, as far as it says.
  BootTime idle_deadline() const { return idle_until_; }

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
  void FinishAnswer();
  // Closes the connection when the other side does, or sends unasked bytes.
  void WatchIdle();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<HttpResponseParser> parser_;
  std::string request_;
  CallOptions options_;
  // Set while a call is open.
  Handler handler_;
  // Distinguishes the events of this call from those of earlier ones.
  std::uint64_t call_ = 0;
  bool connected_ = false;
  bool reading_ = false;
  // Invariant: request_ does not change while set.
  bool writing_ = false;
  bool wrote_ = false;
  bool failed_ = false;
  BootTime last_answer_{};
  BootTime idle_until_ = BootTime::max();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_CLIENT_H_
