// ControllerOptions: the identity and the time settings of a Controller.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_

#include <chrono>
#include <string>

namespace pollenrudder {

// log_lease_duration, promise_duration and max_clock_drift must be equal on all
// instances of a deployment, because a claimant derives from its own values how
// long the lease of another instance can last.
struct ControllerOptions {
  // "<name>.<incarnation>". Each process start has a new incarnation.
  std::string instance;
  std::string zone;
  std::string region;
  // "ip:port" for forwarded requests and for control messages.
  std::string forward_address;
  std::string peer_address;

  // A lease granted by a log read is valid for this long from the start of the
  // read.
  std::chrono::nanoseconds log_lease_duration = std::chrono::milliseconds(600);
  std::chrono::nanoseconds promise_duration = std::chrono::milliseconds(900);
  // A promise covers two heartbeat intervals, so that one message may be lost.
  // A shorter interval exceeds the limit of control traffic, 10 KB/s: at
  // 250 ms, the busiest of 40 instances has 14.2 KB/s.
  std::chrono::nanoseconds heartbeat_interval = std::chrono::milliseconds(400);
  // The interval of log reads while the promise of a voter is missing.
  std::chrono::nanoseconds log_read_interval = std::chrono::milliseconds(200);
  std::chrono::nanoseconds load_report_interval = std::chrono::seconds(2);
  std::chrono::nanoseconds checkpoint_interval = std::chrono::seconds(60);
  // The largest relative rate difference between two clocks. A wait for a
  // duration on the clock of another instance is lengthened by this share.
  double max_clock_drift = 0.01;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_OPTIONS_H_
