// A stand-in for the platform's instance list.

#ifndef POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_
#define POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/json/object.hpp>

#include "standins/http_service.h"

namespace pollenrudder {

// GET /v1/instances shows the list as it was `lag_ms` ago. The driver changes
// it by POST /standin/register with an entry, which replaces the one of the
// same name, and POST /standin/remove with {"name"}. The setting "views" maps a
// listener to the addresses that its readers see instead of the registered
// ones, so that they connect through links that can be cut.
class InstanceListService : public HttpService {
 public:
  using HttpService::HttpService;

 protected:
  boost::asio::awaitable<std::optional<Response>> Handle(
      const Request& request,
      Connection& connection) override;
  Response HandleControl(const Request& request) override;
  void ApplySettings(const boost::json::object& settings) override;

 private:
  // The list since `since`, on the boot clock.
  struct Version {
    std::int64_t valid_from = 0;
    std::uint64_t number = 0;
    std::string text;
  };

  void AddVersion();
  std::string ListTextFor(const std::string& listener) const;

  std::map<std::string, boost::json::object> entries_;
  // Invariant: ordered by time; the first is in force for the oldest answer.
  std::deque<Version> versions_ = {{0, 0, "{\"instances\":[]}"}};
  std::int64_t lag_ = 0;
  // Per listener: registered address -> address shown.
  std::map<std::string, std::map<std::string, std::string>> views_;
  std::uint64_t view_number_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_
