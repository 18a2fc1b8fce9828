// The owner of a range of keys.

#ifndef POLLENRUDDER_GRANTS_KEY_ASSIGNMENT_H_
#define POLLENRUDDER_GRANTS_KEY_ASSIGNMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "grants/key_range.h"

namespace pollenrudder {

// One incarnation of an upstream: one run of a process under this name.
struct UpstreamIncarnation {
  std::string name;
  std::chrono::milliseconds started_at{0};

  bool operator==(const UpstreamIncarnation&) const = default;
};

// The owner whose grants must end before the new owner gets the keys.
struct FormerOwner {
  UpstreamIncarnation upstream;
  std::uint64_t token = 0;

  bool operator==(const FormerOwner&) const = default;
};

// A row of a KeyTable.
struct KeyAssignment {
  KeyRange keys;
  UpstreamIncarnation owner;
  // The fencing token: the offset of the record that made the assignment. It is
  // never lower than a token of a former owner of these keys.
  std::uint64_t token = 0;
  // The keys are being moved to `owner`, which must not receive requests yet.
  bool moving = false;
  // Set while `moving`, if the keys had an owner before.
  std::optional<FormerOwner> former;

  bool operator==(const KeyAssignment&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_ASSIGNMENT_H_
