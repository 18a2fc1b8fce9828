// Stand-in for an upstream.

#ifndef POLLENRUDDER_STANDINS_UPSTREAM_SERVICE_H_
#define POLLENRUDDER_STANDINS_UPSTREAM_SERVICE_H_

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "standins/execution.h"
#include "standins/http_service.h"
#include "standins/upstream_settings.h"

namespace pollenrudder {

// Occupies a slot for the service time of each request. The response contains
// the upstream's name, the tag, shard and fence of the request, and padding of
// the length in the query parameter `pad`. Requests that are shed or fenced, or
// would start after Pollenrudder-Run-Before or Pollenrudder-Deadline, do not
// run and get a response with Pollenrudder-Not-Run. GET /standin/counts returns
// counters. The journal file lists every execution and remains after the
// process is killed.
class UpstreamService : public HttpService {
 public:
  explicit UpstreamService(boost::asio::io_context& context);

 protected:
  boost::asio::awaitable<std::optional<Response>> Handle(
      const Request& request,
      Connection& connection) override;
  Response HandleControl(const Request& request) override;
  void ApplySettings(const boost::json::object& settings) override;
  bool AdmitConnection() override;
  void OnConnectionClosed() override;

 private:
  boost::asio::awaitable<std::optional<Response>> Run(const Request& request,
                                                      Connection& connection);
  boost::asio::awaitable<std::optional<Response>> HandleHealth();
  // Waits for a slot, which ReleaseSlot() must release.
  boost::asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();
  // Waits for the service time. Returns false if the caller closed the
  // connection first.
  boost::asio::awaitable<bool> SimulateWork(Connection& connection);

  // Returns why the request must not run, or null.
  const char* FindRejectReason(const Request& request, std::int64_t arrived);
  // Adds the time of the clock on which Pollenrudder-Run-Before is checked.
  static Response WithClockHeader(Response response);
  Response RejectNotRun(const char* reason);
  std::optional<Response> MakeResponse(const Request& request,
                                       const Execution& execution);
  Response HandleGrant(const Request& request);
  void AppendToJournal(const Execution& execution);

  UpstreamSettings settings_;
  const std::int64_t started_;
  std::size_t open_connections_ = 0;
  std::size_t running_ = 0;
  std::size_t max_running_ = 0;
  std::deque<boost::asio::steady_timer*> waiting_for_slot_;
  std::uint64_t granted_fence_ = 0;
  std::map<std::string, std::uint64_t> shard_fences_;
  std::ofstream journal_;
  std::map<std::string, std::uint64_t> counts_;
  // The response that `swap` sends instead of the next one.
  std::string previous_body_;
  std::string previous_id_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_UPSTREAM_SERVICE_H_
