// Client side of one keep-alive HTTP/1.1 connection.

#ifndef POLLENRUDDER_UPSTREAMS_HTTP_CLIENT_CONNECTION_H_
#define POLLENRUDDER_UPSTREAMS_HTTP_CLIENT_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/http_parser.h"
#include "upstreams/byte_stream.h"

namespace pollenrudder {

// Sends one request at a time, without pipelining. Call Connect(), then
// Exchange() for each request while usable() is true. Bytes that arrive while
// no request is in flight close the connection, so that a late response is
// never matched to the next request. Used on one thread. Held by shared
// pointer, since handlers may be pending.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  // How an exchange ended. kAnswered: a complete response was received.
  enum class ExchangeOutcome {
    kAnswered,
    // No byte of the request was written to the connection.
    kNotWritten,
    // The connection was lost before the first byte of a response.
    kLost,
    // The response was truncated or malformed.
    kInvalidResponse,
  };

  struct ExchangeResult {
    ExchangeOutcome end = ExchangeOutcome::kLost;
    HttpResponse response;
  };

  using ConnectHandler = std::function<void(boost::system::error_code)>;
  using ExchangeHandler = std::function<void(ExchangeResult)>;

  static std::shared_ptr<HttpClientConnection> Create(
      std::unique_ptr<ByteStream> stream,
      const ParseLimits& limits);
  ~HttpClientConnection();

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               ConnectHandler handler);

  // Writes `request` and waits for the response. The handler is called once,
  // unless Close() is called first. Precondition: usable().
  void Exchange(std::string request,
                bool head_request,
                ExchangeHandler handler);

  // Called when the connection ends while no request is in flight. `orderly` is
  // true if the remote side closed it without an error. Not called when a
  // response ends the connection (Connection: close).
  void set_on_idle_end(std::function<void(bool orderly)> handler) {
    on_idle_end_ = std::move(handler);
  }

  // Closes the connection and drops all handlers.
  void Close();

  // True if a request can be sent now.
  bool usable() const { return open_ && !exchange_; }
  bool open() const { return open_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  struct PendingExchange {
    ExchangeHandler handler;
    HttpResponseParser parser;
    bool written = false;

    PendingExchange(ExchangeHandler on_end,
                    const ParseLimits& limits,
                    bool head_request)
        : handler(std::move(on_end)), parser(limits, head_request) {}
  };

  HttpClientConnection(std::unique_ptr<ByteStream> stream,
                       const ParseLimits& limits);

  void StartRead();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void OnWritten(boost::system::error_code error, std::size_t bytes);
  void Parse();
  void OnResponseComplete();
  void EndExchange(ExchangeResult result);
  void OnConnectionEnded(bool orderly);

  const std::unique_ptr<ByteStream> stream_;
  const ParseLimits limits_;
  boost::beast::flat_buffer buffer_;
  // Set while a request is in flight.
  std::unique_ptr<PendingExchange> exchange_;
  std::function<void(bool orderly)> on_idle_end_;
  bool open_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_HTTP_CLIENT_CONNECTION_H_
