// The identity and the time limits of a Controller.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_

#include <chrono>
#include <string>

namespace pollenrudder {

// Who the instance is, and how long its leases and waits last.
struct ControllerOptions {
  // "<name>.<incarnation>"; the incarnation is new at every process start.
  std::string instance;
  std::string zone;
  std::string region;
  // "ip:port" for forwarded requests and for control messages.
  std::string forward_address;
  std::string peer_address;

  // A lease proved by a log read lasts this long from the start of the read.
  std::chrono::nanoseconds log_lease_duration = std::chrono::milliseconds(600);
  std::chrono::nanoseconds promise_duration = std::chrono::milliseconds(900);
  // A promise outlasts two heartbeats, so that one may be lost. A shorter one
  // costs control bytes: 250 ms took 14.2 KB/s of the 10 KB/s allowed.
  std::chrono::nanoseconds heartbeat_interval = std::chrono::milliseconds(400);
  // Interval of log reads while a voter's promise is missing.
  std::chrono::nanoseconds log_read_interval = std::chrono::milliseconds(200);
  std::chrono::nanoseconds load_report_interval = std::chrono::seconds(2);
  std::chrono::nanoseconds checkpoint = std::chrono::seconds(60);
  // Waits on behalf of another clock are lengthened by this share.
  double max_clock_drift = 0.01;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_
