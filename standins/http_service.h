// Base class of the stand-ins: an HTTP server with fault injection.

#ifndef POLLENRUDDER_STANDINS_HTTP_SERVICE_H_
#define POLLENRUDDER_STANDINS_HTTP_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>

#include "standins/standin_options.h"

namespace pollenrudder {

// Serves HTTP on one thread. Subclasses implement Handle() and HandleControl().
// Tests control a stand-in with requests to /standin/..., which are exempt from
// faults. POST /standin/set with a JSON object sets the faults of other
// requests:
//   outage     "none", "refuse" (503), "hang" or "reset"
//   delay_ms   added before each request is handled
//   cut        names of listeners whose connections hang
//   source_delay_ms  per listener name, added to delay_ms
class HttpService {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  // A connection that a caller opened.
  struct Connection {
    std::string listener;
    boost::beast::tcp_stream stream;

    // Returns true once the caller has closed the connection.
    bool IsClosedByCaller();
  };

  explicit HttpService(boost::asio::io_context& context);
  virtual ~HttpService() = default;

  // Applies the settings, opens the listeners and prints "listening NAME
  // ADDRESS" for each, then "ready". Returns false if an address cannot be
  // bound.
  bool Start(const StandinOptions& options);

 protected:
  // Handles a request. Returning nullopt closes the connection without a
  // response.
  virtual boost::asio::awaitable<std::optional<Response>> Handle(
      const Request& request,
      Connection& connection) = 0;
  // Handles a request to /standin/... other than /standin/set.
  virtual Response HandleControl(const Request& request) = 0;
  // Applies the settings of POST /standin/set. Overrides must call the base.
  virtual void ApplySettings(const boost::json::object& settings);
  // Returns false to close a new connection immediately.
  virtual bool AdmitConnection() { return true; }
  virtual void OnConnectionClosed() {}

  // Returns true while requests to `listener` must not get a response.
  bool ShouldHang(const std::string& listener) const;
  boost::asio::awaitable<void> Sleep(std::chrono::milliseconds duration);
  boost::asio::io_context& context() { return context_; }

  static Response JsonResponse(unsigned status,
                               const boost::json::value& value);
  static Response EmptyResponse(unsigned status);
  // Returns a query parameter of the target as it was sent, or an empty string.
  static std::string QueryParameter(const Request& request,
                                    std::string_view name);
  static std::string_view RequestPath(const Request& request);
  // Returns the body as a JSON object; an empty object if it is not one.
  static boost::json::object JsonBody(const Request& request);

 private:
  boost::asio::awaitable<void> AcceptLoop(
      boost::asio::ip::tcp::acceptor acceptor,
      std::string name);
  boost::asio::awaitable<void> Serve(Connection connection);
  boost::asio::awaitable<std::optional<Response>> HandleWithFaults(
      const Request& request,
      Connection& connection);

  boost::asio::io_context& context_;
  std::string outage_ = "none";
  std::chrono::milliseconds delay_{0};
  std::set<std::string> cut_listeners_;
  std::map<std::string, std::chrono::milliseconds> listener_delays_;
};

// Opens a listening socket on "ip:port" and prints "listening NAME ADDRESS".
// Returns a closed socket after an error.
boost::asio::ip::tcp::acceptor ListenOn(boost::asio::io_context& context,
                                        const std::string& name,
                                        const std::string& address);

// Returns the time of the boot clock, which all processes of a machine share.
std::int64_t BootMilliseconds();

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_HTTP_SERVICE_H_
