// SendHttpRequest(), implemented with Boost.Beast.

#include "operators/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>

#include "base/socket_address.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{256} << 20;

// Connects, writes the request and reads the response. Run() returns when the
// exchange is complete, has failed or has timed out.
class Exchange {
 public:
  Exchange(const asio::ip::tcp::endpoint& endpoint,
           http::request<http::string_body> request,
           std::chrono::milliseconds timeout)
      : request_(std::move(request)) {
    parser_.body_limit(kMaxResponseBytes);
    stream_.expires_after(timeout);
    stream_.async_connect(endpoint, [this](beast::error_code error) {
      if (CheckResult(error))
        Write();
    });
  }

  beast::error_code Run() {
    context_.run();
    return error_;
  }

  HttpClientResponse TakeResponse() {
    return HttpClientResponse{static_cast<int>(parser_.get().result_int()),
                              std::move(parser_.get().body())};
  }

 private:
  bool CheckResult(beast::error_code error) {
    error_ = error;
    return !error;
  }

  void Write() {
    http::async_write(stream_, request_,
                      [this](beast::error_code error, std::size_t) {
                        if (CheckResult(error))
                          Read();
                      });
  }

  void Read() {
    http::async_read(stream_, buffer_, parser_,
                     [this](beast::error_code error, std::size_t) {
                       // A body that ends with the connection may have been cut
                       // by a crash.
                       if (!error && parser_.need_eof())
                         error = http::error::partial_message;
                       CheckResult(error);
                     });
  }

  asio::io_context context_;
  beast::tcp_stream stream_{context_};
  http::request<http::string_body> request_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  beast::error_code error_;
};

}  // namespace

Result<HttpClientResponse> SendHttpRequest(const std::string& address,
                                           const std::string& target,
                                           const std::string& body,
                                           std::chrono::milliseconds timeout) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseSocketAddress(address));
  http::request<http::string_body> request(
      body.empty() ? http::verb::get : http::verb::post, target, 11);
  request.set(http::field::host, address);
  request.keep_alive(false);
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body;
  }
  request.prepare_payload();
  Exchange exchange(endpoint, std::move(request), timeout);
  const beast::error_code error = exchange.Run();
  if (error)
    return MakeError(ErrorKind::kLogUnavailable,
                     "no response from " + address + ": " + error.message());
  return exchange.TakeResponse();
}

}  // namespace pollenrudder
