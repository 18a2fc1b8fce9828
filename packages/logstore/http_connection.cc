// HttpConnection, implemented with Boost.Beast.

#include "logstore/http_connection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

Error Unavailable(const boost::system::error_code& code) {
  return MakeError(ErrorKind::kLogUnavailable, code.message());
}

}  // namespace

HttpConnection::HttpConnection(const asio::any_io_executor& executor,
                               asio::ip::tcp::endpoint endpoint)
    : endpoint_(std::move(endpoint)), stream_(executor) {}

asio::awaitable<Result<HttpConnection::Response>> HttpConnection::Get(
    std::string target,
    std::string known_entity_tag,
    std::chrono::milliseconds timeout) {
  Request request(http::verb::get, target, kHttp11);
  if (!known_entity_tag.empty())
    request.set(http::field::if_none_match, known_entity_tag);
  const bool reused = connected_;
  Result<Response> response =
      co_await Exchange(request, timeout, kMaxBodyBytes);
  if (!response && reused)
    response = co_await Exchange(std::move(request), timeout, kMaxBodyBytes);
  co_return response;
}

asio::awaitable<Result<HttpConnection::Response>> HttpConnection::Post(
    std::string target,
    std::string body,
    std::chrono::milliseconds timeout) {
  Request request(http::verb::post, target, kHttp11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  co_return co_await Exchange(std::move(request), timeout,
                              kMaxPostResponseBytes);
}

asio::awaitable<Result<HttpConnection::Response>> HttpConnection::Exchange(
    Request request,
    std::chrono::milliseconds timeout,
    std::size_t max_body_bytes) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  stream_.expires_at(deadline);
  if (!connected_) {
    const auto [error] = co_await stream_.async_connect(endpoint_, kAwaitTuple);
    if (error) {
      Close();
      co_return Unavailable(error);
    }
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connected_ = true;
  }
  request.set(http::field::host, endpoint_.address().to_string());
  request.prepare_payload();
  const auto [write_error, sent] =
      co_await http::async_write(stream_, request, kAwaitTuple);
  bytes_sent_ += sent;
  if (write_error) {
    Close();
    co_return Unavailable(write_error);
  }
  ResponseParser parser;
  parser.body_limit(max_body_bytes);
  if (const auto read_error = co_await ReadResponse(parser, deadline)) {
    Close();
    co_return Unavailable(read_error);
  }
  Response response = parser.release();
  // The response itself follows an interim one. It must not be taken for that
  // to the next request.
  if (http::to_status_class(response.result()) ==
      http::status_class::informational) {
    Close();
    co_return MakeError(ErrorKind::kLogUnavailable, "interim response");
  }
  if (!response.keep_alive())
    Close();
  co_return response;
}

asio::awaitable<boost::system::error_code> HttpConnection::ReadResponse(
    ResponseParser& parser,
    std::chrono::steady_clock::time_point deadline) {
  std::size_t progress = 0;
  while (!parser.is_done()) {
    stream_.expires_at(deadline);
    const auto [error, received] =
        co_await http::async_read_some(stream_, buffer_, parser, kAwaitTuple);
    bytes_received_ += received;
    if (error)
      co_return error;
    progress += received;
    if (progress >= kProgressBytes) {
      progress = 0;
      deadline = std::max(deadline,
                          std::chrono::steady_clock::now() + kProgressTimeout);
    }
  }
  // A body that ends with the connection may have been cut by a crash.
  co_return parser.need_eof()
      ? http::make_error_code(http::error::partial_message)
      : boost::system::error_code();
}

void HttpConnection::Close() {
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
  buffer_.clear();
  connected_ = false;
}

}  // namespace pollenrudder
