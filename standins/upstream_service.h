// A stand-in for an upstream.

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

// Runs each request for a service time in one of its slots and answers with
// its name, the request's tag, shard and fence, and `pad` bytes of padding (a
// query parameter). It refuses, before running and with Pollenrudder-Not-Run,
// what is shed, fenced, or would start after Pollenrudder-Run-Before or
// Pollenrudder-Deadline. GET /standin/counts tells the totals; the journal
// holds every execution, and outlives a killed process.
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
  // Waits for a slot; the caller must give it back.
  boost::asio::awaitable<void> AcquireSlot();
  void ReleaseSlot();
  // Returns false if the caller went away first.
  boost::asio::awaitable<bool> SimulateWork(Connection& connection);

  // Returns the reason for a refusal before running, or null.
  const char* FindRejectReason(const Request& request, std::int64_t arrived);
  // Adds the reading of the own clock, on which run-before is checked.
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
  // The answer before the last one, for `swap`.
  std::string previous_body_;
  std::string previous_id_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_UPSTREAM_SERVICE_H_
