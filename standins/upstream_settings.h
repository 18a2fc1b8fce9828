// How an upstream stand-in behaves.

#ifndef POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_
#define POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include <boost/json/object.hpp>

namespace pollenrudder {

// The settings of POST /standin/set beside those of HttpService. Each member
// is the setting of the same name; times are in milliseconds.
struct UpstreamSettings {
  std::string name = "upstream";
  std::chrono::milliseconds service_ms{1};
  // Requests that run at a time; others wait in arrival order.
  std::size_t slots = 6;
  // Connections above this number are closed at once.
  std::size_t connections = 110;
  bool checks_fence = true;
  bool echoes_request_id = true;
  // A request whose caller has closed the connection is not started. Without
  // this, what a frozen upstream had received runs when it resumes: run-before
  // counts from the arrival at the process, which is after the freeze.
  bool accepts_cancellation = true;
  // For this long after the start, requests take `cold_factor` times longer.
  std::chrono::milliseconds cold_ms{0};
  int cold_factor = 4;
  // The next n requests are refused before they run.
  int shed = 0;
  // The next n answers are cut off in the middle, or come with the body and
  // the id of the request before.
  int truncate = 0;
  int swap = 0;
  // The file that executions are appended to; empty for none.
  std::string journal;
  // The process ends when a request whose body contains this text runs.
  std::string crash_body;
  // The answer of the health endpoint: "ok", "failing" or "hang".
  std::string health = "ok";
  // The load that the health endpoint claims; negative tells the truth.
  int claimed_load = -1;

  void Apply(const boost::json::object& settings);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_UPSTREAM_SETTINGS_H_
