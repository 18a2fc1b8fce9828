// Settings of the upstream stand-in.

#ifndef POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_
#define POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include <boost/json/object.hpp>

namespace pollenrudder {

// Settings of POST /standin/set in addition to those of HttpService. Each
// member has the name of its setting; times are in milliseconds.
struct UpstreamSettings {
  std::string name = "upstream";
  std::chrono::milliseconds service_ms{1};
  // Maximum number of concurrent requests; others wait in arrival order.
  std::size_t slots = 6;
  // Maximum number of open connections; further ones are closed immediately.
  std::size_t connections = 110;
  bool checks_fence = true;
  bool echoes_request_id = true;
  // A request whose caller has closed the connection is not started. Without
  // this setting, requests that a frozen upstream had received run when it
  // resumes, because run-before counts from the arrival at the process, after
  // the freeze.
  bool accepts_cancellation = true;
  // During this time after startup, requests take `cold_factor` times longer.
  std::chrono::milliseconds cold_ms{0};
  int cold_factor = 4;
  // The next n requests are rejected before they run.
  int shed = 0;
  // `truncate`: the next n responses end in the middle of the body. `swap`: the
  // next n responses have the body and id of an earlier request.
  int truncate = 0;
  int swap = 0;
  // File to which executions are appended; empty for none.
  std::string journal;
  // The process exits when it runs a request whose body contains this text;
  // empty for never.
  std::string crash_body;
  // Behavior of the health endpoint: "ok", "failing" or "hang".
  std::string health = "ok";
  // Load that the health endpoint reports; negative for the actual load.
  int claimed_load = -1;

  void Apply(const boost::json::object& settings);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_
