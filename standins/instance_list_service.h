// Stand-in for the platform's instance list.

#ifndef POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_
#define POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/json/object.hpp>

#include "standins/http_service.h"

namespace pollenrudder {

// GET /v1/instances returns the list as it was `lag_ms` ago. Tests change it
// with POST /standin/register, whose entry replaces the entry of the same name,
// and POST /standin/remove with {"name"}. The setting "views" maps a listener
// to substitutes of registered addresses, so that its readers connect through
// link stand-ins.
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
  // The list from `valid_from` on, in milliseconds on the boot clock.
  struct Version {
    std::int64_t valid_from = 0;
    std::uint64_t number = 0;
    std::string text;
  };

  void AddVersion();
  std::string ListTextFor(const std::string& listener) const;

  std::map<std::string, boost::json::object> entries_;
  // Ordered by time. The first version is the newest that is older than the
  // lag.
  std::deque<Version> versions_ = {{0, 0, "{\"instances\":[]}"}};
  std::int64_t lag_ = 0;
  // Per listener: registered address -> substituted address.
  std::map<std::string, std::map<std::string, std::string>> views_;
  std::uint64_t view_number_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_INSTANCE_LIST_SERVICE_H_
