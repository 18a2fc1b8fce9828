// Stand-in for the network between regions and availability zones.

#ifndef POLLENRUDDER_STANDINS_LINK_SERVICE_H_
#define POLLENRUDDER_STANDINS_LINK_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "standins/http_service.h"

namespace pollenrudder {

// Relays TCP connections. Each --link NAME=TARGET opens a listener that relays
// its connections to TARGET. POST /standin/set with {"links": {NAME: {...}}}
// changes the settings of a link; the name "*" means all links:
//   delay_ms      one-way latency
//   bytes_per_s   rate limit per direction (0: none)
//   cut           "none", "both", "forth" (towards the target) or "back":
//                 as in a network partition, bytes in that direction are
//                 delayed until the cut ends, new connections wait, and
//                 connections stay open
//   cut_sources   IP addresses of callers with a cut in both directions
//   reset         true closes all connections
// GET /standin/counts returns bytes and connections per link.
class LinkService : public HttpService {
 public:
  explicit LinkService(boost::asio::io_context& context);
  ~LinkService() override;

  // Opens the listeners of the links, then calls Start().
  bool StartLinks(const StandinOptions& options);

 protected:
  boost::asio::awaitable<std::optional<Response>> Handle(
      const Request& request,
      Connection& connection) override;
  Response HandleControl(const Request& request) override;
  void ApplySettings(const boost::json::object& settings) override;

 private:
  class Link;

  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_LINK_SERVICE_H_
