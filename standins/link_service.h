// A stand-in for the network between regions and zones.

#ifndef POLLENRUDDER_STANDINS_LINK_SERVICE_H_
#define POLLENRUDDER_STANDINS_LINK_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "standins/http_service.h"

namespace pollenrudder {

// Relays TCP connections. Each --link NAME=TARGET opens a listener whose
// connections go to TARGET. POST /standin/set with {"links": {NAME: {...}}}
// sets for one link ("*" sets all):
//   delay_ms      one-way latency
//   bytes_per_s   rate limit per direction (0: none)
//   cut           "none", "both", "forth" (towards the target) or "back":
//                 bytes in that direction are held until the cut ends, and new
//                 connections wait; nothing is closed, as in a partition
//   cut_sources   like cut "both", for callers from these IP addresses
//   reset         true closes all connections
// GET /standin/counts tells bytes and connections per link.
class LinkService : public HttpService {
 public:
  explicit LinkService(boost::asio::io_context& context);
  ~LinkService() override;

  // Opens the listeners of the links, then Start()s the control listener.
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
