// A request that was in flight at an upstream when that crashed.

#ifndef POLLENRUDDER_QUARANTINE_CRASH_REPORT_H_
#define POLLENRUDDER_QUARANTINE_CRASH_REPORT_H_

#include <cstdint>

#include "base/boot_clock.h"
#include "grants/key_assignment.h"

namespace pollenrudder {

// Recorded by the instance that sent the request. The times are of its own
// clock; CrashMessage transfers them as ages.
struct CrashReport {
  std::uint64_t fingerprint = 0;
  // The incarnation that crashed.
  UpstreamIncarnation upstream;
  // When the request was sent to the upstream, and when its connection was
  // lost.
  BootTime sent_at{};
  BootTime lost_at{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_QUARANTINE_CRASH_REPORT_H_
