// One keep-alive HTTP connection to a service of the platform.

#ifndef POLLENRUDDER_LOGSTORE_HTTP_CONNECTION_H_
#define POLLENRUDDER_LOGSTORE_HTTP_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/result.h"

namespace pollenrudder {

// Sends one request at a time and connects when needed. Any failure closes the
// connection, so that a late answer is never taken for another request's.
// Used on one thread.
class HttpConnection {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  // Bodies above this size are refused.
  static constexpr std::size_t kMaxBodyBytes = 64u << 20;

  HttpConnection(const boost::asio::any_io_executor& executor,
                 boost::asio::ip::tcp::endpoint endpoint);

  // Sends a request without a body and waits for the whole answer. A GET that
  // fails on a reused connection is sent once more on a new one.
  boost::asio::awaitable<Result<Response>> Get(
      std::string target,
      std::string known_entity_tag,
      std::chrono::milliseconds timeout);

  // Sends a JSON body. Never sends it twice.
  boost::asio::awaitable<Result<Response>>
  Post(std::string target, std::string body, std::chrono::milliseconds timeout);

  // Bytes of all messages since the start, for the metrics.
  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t bytes_received() const { return bytes_received_; }

 private:
  boost::asio::awaitable<Result<Response>> Exchange(Request request);
  void Close();

  const boost::asio::ip::tcp::endpoint endpoint_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  bool connected_ = false;
  std::size_t bytes_sent_ = 0;
  std::size_t bytes_received_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_HTTP_CONNECTION_H_
