// Durations of grants and of the grant leadership.

#ifndef POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_
#define POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_

#include <chrono>
#include <cstdint>

namespace pollenrudder {

// Invariant: renew_interval < grant_ttl. docs/design.md explains the defaults:
// a longer TTL lets grants survive a longer store outage, but the keys of an
// upstream that is lost without notice stay unserved for longer.
struct GrantDurations {
  // How long an upstream may use a grant after it arrived.
  std::chrono::nanoseconds grant_ttl = std::chrono::milliseconds(4000);
  std::chrono::nanoseconds renew_interval = std::chrono::milliseconds(1300);
  // How long an instance may act as leader after it sent the store call that
  // confirmed its term.
  std::chrono::nanoseconds leader_lease_duration =
      std::chrono::milliseconds(4500);
  // Timeout of a call to an upstream.
  std::chrono::nanoseconds call_timeout = std::chrono::milliseconds(800);
  // The longest time for which the network may still deliver a call that was
  // given up, for example because a link is full. Full links between regions
  // delayed requests by 2.7 to 3.7 s.
  std::chrono::nanoseconds max_delivery_time = std::chrono::milliseconds(5000);
  // The fraction by which an upstream's clock may run slow, by the platform's
  // bound. Applies to every wait for a deadline that another clock measures.
  double max_clock_drift = 0.02;

  // The longest time that may pass here while another clock measures
  // `duration`.
  std::chrono::nanoseconds WithDriftMargin(
      std::chrono::nanoseconds duration) const {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(
        static_cast<double>(duration.count()) * (1 + max_clock_drift)));
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_DURATIONS_H_
