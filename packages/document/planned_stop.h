// Planned maintenance stop of an upstream, an instance or an availability zone.

#ifndef POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_
#define POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_

#include <chrono>
#include <string>

#include "base/boot_clock.h"

namespace pollenrudder {

// Takes a target out of service from `start` to `end`. From `start` on, the
// target gets no new requests, and requests in flight must finish within
// `drain`.
struct PlannedStop {
  enum class Target { kUpstream, kInstance, kZone };

  Target target = Target::kUpstream;
  std::string name;
  WallTime start;
  // In a checked section, start + drain <= end.
  WallTime end;
  std::chrono::milliseconds drain{30000};

  bool operator==(const PlannedStop&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_
