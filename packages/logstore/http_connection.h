// A keep-alive HTTP connection to the log service or the instance list.

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
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/result.h"

namespace pollenrudder {

// Sends one request at a time and connects when needed. Any failure closes the
// connection, so that a late response is never matched to another request.
// Not thread-safe.
class HttpConnection {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  // Larger response bodies are an error. Responses to POST requests have a few
  // bytes, and many of them may be read at once.
  static constexpr std::size_t kMaxBodyBytes = 64u << 20;
  static constexpr std::size_t kMaxPostResponseBytes = 64u << 10;
  // A response that arrives is not given up at its timeout: each
  // kProgressBytes extend the time by kProgressTimeout. A read that is sent
  // again would begin from the start and take as long. The minimum rate of 40
  // KB/s is a thirtieth of the slowest link (10 Mbit/s), which other
  // connections share.
  static constexpr std::size_t kProgressBytes = 16u << 10;
  static constexpr std::chrono::milliseconds kProgressTimeout{400};

  HttpConnection(const boost::asio::any_io_executor& executor,
                 boost::asio::ip::tcp::endpoint endpoint);

  // Sends a GET request and waits for the whole response, for `timeout` or
  // while the response progresses. A request that fails on a reused connection
  // is sent once more on a new one. If `known_entity_tag` is set, the response
  // for an unchanged resource has status 304 and no body.
  boost::asio::awaitable<Result<Response>> Get(
      std::string target,
      std::string known_entity_tag,
      std::chrono::milliseconds timeout);

  // Sends a POST request with a JSON body. Never repeats it.
  boost::asio::awaitable<Result<Response>>
  Post(std::string target, std::string body, std::chrono::milliseconds timeout);

  // Bytes of all requests and responses, for the metrics.
  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t bytes_received() const { return bytes_received_; }

 private:
  using ResponseParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<Result<Response>> Exchange(
      Request request,
      std::chrono::milliseconds timeout,
      std::size_t max_body_bytes);
  // Reads until the response is complete or hardly progresses.
  boost::asio::awaitable<boost::system::error_code> ReadResponse(
      ResponseParser& parser,
      std::chrono::steady_clock::time_point deadline);
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
