// A planned stop of an upstream, an instance or a zone.

#ifndef POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_
#define POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_

#include <chrono>
#include <string>

#include "base/boot_clock.h"

namespace pollenrudder {

// Announces that a target is taken out of service from `start` to `end`. From
// `start` it gets no new work; requests in flight have `drain` to finish.
struct PlannedStop {
  enum class Target { kUpstream, kInstance, kZone };

  Target target = Target::kUpstream;
  std::string name;
  WallTime start;
  // Invariant after the check: start + drain <= end.
  WallTime end;
  std::chrono::milliseconds drain{30000};

  bool operator==(const PlannedStop&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_PLANNED_STOP_H_
