// Stand-in for the platform's log service.

#ifndef POLLENRUDDER_STANDINS_LOG_SERVICE_H_
#define POLLENRUDDER_STANDINS_LOG_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "standins/http_service.h"

namespace pollenrudder {

// Serves POST /v1/append and GET /v1/records from memory, with limited
// retention. Settings in addition to those of HttpService:
//   retention      records kept (default 100,000)
//   append_rate    appends per second, 0 for no limit; others get status 429
//   lose_answers   the next n appends take effect but get no response
//   restart_empty  true deletes all records and restarts offsets at 1
// GET /standin/counts returns the numbers of appends, reads and records, and
// the bytes of records read, per listener.
class LogService : public HttpService {
 public:
  using HttpService::HttpService;

 protected:
  boost::asio::awaitable<std::optional<Response>> Handle(
      const Request& request,
      Connection& connection) override;
  Response HandleControl(const Request& request) override;
  void ApplySettings(const boost::json::object& settings) override;

 private:
  struct Traffic {
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t records = 0;
    std::uint64_t record_bytes = 0;
  };

  std::optional<Response> Append(const Request& request, Traffic& traffic);
  boost::asio::awaitable<std::optional<Response>> Read(const Request& request,
                                                       Connection& connection,
                                                       Traffic& traffic);
  bool AdmitAppend();
  std::uint64_t next_offset() const {
    return first_retained_ + records_.size();
  }

  std::deque<std::string> records_;
  std::uint64_t first_retained_ = 1;
  std::size_t retention_ = 100000;
  int append_rate_ = 0;
  std::int64_t rate_window_ = 0;
  int appends_in_window_ = 0;
  int responses_to_drop_ = 0;
  std::set<boost::asio::steady_timer*> waiting_readers_;
  std::map<std::string, Traffic> traffic_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_LOG_SERVICE_H_
