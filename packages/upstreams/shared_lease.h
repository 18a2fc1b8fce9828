// The end of a lease, shared between threads.

#ifndef POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_
#define POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_

#include <atomic>

#include "base/boot_clock.h"
#include "base/log_offset.h"

namespace pollenrudder {

// Written by the control thread, read directly before each send. One object
// per upstream and fence, so that a lease of a new term never extends sending
// for the old one.
struct SharedLease {
  explicit SharedLease(LogOffset lease_fence) : fence(lease_fence) {}

  BootTime valid_until() const {
    return BootTime(BootTime::duration(expires_at.load()));
  }

  const LogOffset fence;
  // On the boot clock, in nanoseconds; 0 is past.
  std::atomic<BootTime::rep> expires_at = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_
