// Lease expiry that the control thread and the upstream I/O thread share.

#ifndef POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_
#define POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_

#include <atomic>

#include "base/boot_clock.h"
#include "base/log_offset.h"

namespace pollenrudder {

// Written by the control thread and read directly before each send. There is
// one object per upstream and fence, so that a lease of a new term never
// extends sending under the old fence.
struct SharedLease {
  explicit SharedLease(LogOffset lease_fence) : fence(lease_fence) {}

  BootTime valid_until() const {
    return BootTime(BootTime::duration(expires_at.load()));
  }

  const LogOffset fence;
  // On the boot clock, in nanoseconds; 0 is in the past.
  std::atomic<BootTime::rep> expires_at = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_SHARED_LEASE_H_
