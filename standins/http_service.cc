// HTTP server with one coroutine per connection, and fault injection.

#include "standins/http_service.h"

#include <sys/socket.h>

#include <cerrno>
#include <iostream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/boot_clock.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

constexpr int kHttp11 = 11;
constexpr std::chrono::milliseconds kHangCheckInterval{10};
constexpr std::size_t kMaxBodyBytes = 64u << 20;
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

bool HttpService::Connection::IsClosedByCaller() {
  char byte = 0;
  const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpService::HttpService(asio::io_context& context) : context_(context) {}

bool HttpService::Start(const StandinOptions& options) {
  ApplySettings(options.settings);
  for (const auto& [name, address] : options.listeners) {
    tcp::acceptor acceptor = ListenOn(context_, name, address);
    if (!acceptor.is_open())
      return false;
    asio::co_spawn(context_, AcceptLoop(std::move(acceptor), name),
                   asio::detached);
  }
  std::cout << "ready" << std::endl;
  return true;
}

asio::awaitable<void> HttpService::AcceptLoop(tcp::acceptor acceptor,
                                              std::string name) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(kAwaitTuple);
    if (error) {
      co_await Sleep(kHangCheckInterval);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (!AdmitConnection())
      continue;
    asio::co_spawn(
        context_,
        Serve(Connection{name, boost::beast::tcp_stream(std::move(socket))}),
        asio::detached);
  }
}

asio::awaitable<void> HttpService::Serve(Connection connection) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    const auto [read_error, received] = co_await http::async_read(
        connection.stream, buffer, parser, kAwaitTuple);
    if (read_error)
      break;
    const Request request = parser.release();
    std::optional<Response> response;
    if (RequestPath(request) == "/standin/set") {
      ApplySettings(JsonBody(request));
      response = JsonResponse(200, json::object());
    } else if (request.target().starts_with("/standin/")) {
      response = HandleControl(request);
    } else {
      response = co_await HandleWithFaults(request, connection);
    }
    if (!response)
      break;
    response->version(kHttp11);
    response->keep_alive(request.keep_alive() && response->keep_alive());
    if (!response->has_content_length())
      response->prepare_payload();
    const auto [write_error, sent] =
        co_await http::async_write(connection.stream, *response, kAwaitTuple);
    if (write_error || response->need_eof())
      break;
  }
  boost::system::error_code ignored;
  connection.stream.socket().close(ignored);
  OnConnectionClosed();
}

asio::awaitable<std::optional<HttpService::Response>>
HttpService::HandleWithFaults(const Request& request, Connection& connection) {
  const auto listener_delay = listener_delays_.find(connection.listener);
  const auto delay = delay_ + (listener_delay == listener_delays_.end()
                                   ? std::chrono::milliseconds(0)
                                   : listener_delay->second);
  if (delay.count() > 0)
    co_await Sleep(delay);
  if (outage_ == "refuse")
    co_return EmptyResponse(503);
  if (outage_ == "reset")
    co_return std::nullopt;
  std::optional<Response> response;
  if (!ShouldHang(connection.listener))
    response = co_await Handle(request, connection);
  if (!ShouldHang(connection.listener) && outage_ != "reset")
    co_return response;
  // The response is dropped. The connection is closed when the hang ends or the
  // caller closes it.
  while (ShouldHang(connection.listener) && !connection.IsClosedByCaller())
    co_await Sleep(kHangCheckInterval);
  co_return std::nullopt;
}

void HttpService::ApplySettings(const json::object& settings) {
  if (const json::value* const value = settings.if_contains("outage"))
    outage_ = value->as_string();
  if (const json::value* const value = settings.if_contains("delay_ms"))
    delay_ = std::chrono::milliseconds(value->to_number<int>());
  if (const json::value* const value = settings.if_contains("cut")) {
    cut_listeners_.clear();
    for (const json::value& name : value->as_array())
      cut_listeners_.emplace(name.as_string());
  }
  if (const json::value* const value =
          settings.if_contains("source_delay_ms")) {
    for (const auto& [name, delay] : value->as_object()) {
      listener_delays_[name] =
          std::chrono::milliseconds(delay.to_number<int>());
    }
  }
}

bool HttpService::ShouldHang(const std::string& listener) const {
  return outage_ == "hang" || cut_listeners_.contains(listener);
}

asio::awaitable<void> HttpService::Sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(context_, duration);
  co_await timer.async_wait(kAwaitTuple);
}

HttpService::Response HttpService::JsonResponse(unsigned status,
                                                const json::value& value) {
  Response response(http::int_to_status(status), kHttp11);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(value);
  return response;
}

HttpService::Response HttpService::EmptyResponse(unsigned status) {
  return {http::int_to_status(status), kHttp11};
}

std::string HttpService::QueryParameter(const Request& request,
                                        std::string_view name) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  std::size_t position = target.find('?');
  while (position != std::string_view::npos) {
    const std::size_t end = target.find('&', position + 1);
    const std::string_view field = target.substr(
        position + 1, end == std::string_view::npos ? end : end - position - 1);
    if (field.starts_with(name) && field.substr(name.size()).starts_with('='))
      return std::string(field.substr(name.size() + 1));
    position = end;
  }
  return {};
}

std::string_view HttpService::RequestPath(const Request& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  return target.substr(0, target.find('?'));
}

json::object HttpService::JsonBody(const Request& request) {
  json::error_code error;
  json::value value = json::parse(request.body(), error);
  if (error || !value.is_object())
    return {};
  return std::move(value.get_object());
}

tcp::acceptor ListenOn(asio::io_context& context,
                       const std::string& name,
                       const std::string& address) {
  tcp::acceptor acceptor(context);
  const auto colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    std::cerr << "not an ip:port address: " << address << std::endl;
    return acceptor;
  }
  const tcp::endpoint endpoint(
      ip, static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    std::cerr << "cannot listen on " << address << ": " << error.message()
              << std::endl;
    acceptor.close(error);
    return acceptor;
  }
  const tcp::endpoint bound = acceptor.local_endpoint();
  std::cout << "listening " << name << ' ' << bound.address().to_string() << ':'
            << bound.port() << std::endl;
  return acceptor;
}

std::int64_t BootMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             BootClock::now().time_since_epoch())
      .count();
}

}  // namespace pollenrudder
