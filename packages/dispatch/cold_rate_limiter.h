// Limits the requests that this instance sends to a cold upstream.

#ifndef POLLENRUDDER_DISPATCH_COLD_RATE_LIMITER_H_
#define POLLENRUDDER_DISPATCH_COLD_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

// An upstream that has just started tolerates only a few requests a second from
// all instances together, and crashes well above that. Each instance sends one
// request in every (instances / rate); where in this interval its first one
// lies is random, so that the requests of all instances are spread evenly
// without messages between them. This answers the load pattern of a zone that
// returns cold: all instances would prefer its idle upstreams at the same
// moment.
//
//   limiter.Start(until, instances, phase, now);
//   if (now >= limiter.NextPermit(now)) { limiter.OnSent(now); ... }
class ColdRateLimiter {
 public:
  // How long an unused permit of a cold upstream stays valid. An instance among
  // hundreds has few requests for one upstream, so that a shorter time would
  // leave most permits unused; with a longer one, the permits of several
  // seconds could meet.
  static constexpr std::chrono::milliseconds kPermitLifetime{500};

  // `rate` is the number of requests a second that the upstream tolerates from
  // all instances; 0 if the rate is not limited.
  explicit ColdRateLimiter(
      double rate,
      std::chrono::nanoseconds permit_lifetime = kPermitLifetime)
      : rate_(rate), permit_lifetime_(permit_lifetime) {}

  // The upstream is cold until `until`; extends a cold period that has begun.
  // `phase`, from 0 to 1, differs between the instances, whose number is
  // `instances`. Returns whether a new period begins.
  bool Start(BootTime until,
             std::uint32_t instances,
             double phase,
             BootTime now);
  // The number of instances has changed.
  void SetInstances(std::uint32_t instances);
  void set_rate(double rate) { rate_ = rate; }

  bool IsCold(BootTime now) const { return rate_ > 0 && now < until_; }
  // When the last cold period began.
  BootTime started_at() const { return started_at_; }
  // Returns when the next request may be sent: `now` at the earliest, and the
  // end of the cold period at the latest.
  BootTime NextPermit(BootTime now) const;
  void OnSent(BootTime now);

 private:
  // The interval between the permits of this instance.
  std::chrono::nanoseconds Interval() const;

  double rate_;
  std::chrono::nanoseconds permit_lifetime_;
  std::uint32_t instances_ = 1;
  BootTime started_at_{};
  BootTime until_{};
  // At most one permit is kept, and only for a short time: requests of
  // instances that had none to send would arrive together later.
  BootTime next_permit_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_COLD_RATE_LIMITER_H_
