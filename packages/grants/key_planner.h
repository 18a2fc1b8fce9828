// Decides which upstream is to own which keys.

#ifndef POLLENRUDDER_GRANTS_KEY_PLANNER_H_
#define POLLENRUDDER_GRANTS_KEY_PLANNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/key_load.h"
#include "grants/key_table.h"

namespace pollenrudder {

// An upstream that may own keys.
struct KeyOwnerCandidate {
  UpstreamIncarnation incarnation;
  std::uint32_t slots = 1;
};

// A change of owner. The keys lie within one row of the table, or in a gap.
struct KeyMove {
  KeyRange keys;
  UpstreamIncarnation to;
};

// Plans the moves of one service's keys:
// - keys without a usable owner go to the upstreams with the most room;
// - an upstream without keys gets some;
// - when one upstream is asked for more than it can serve, its busiest keys go
//   to the upstreams with the most room, in pieces down to single keys.
class KeyPlanner {
 public:
  // Rows of a table per candidate; each row costs calls to renew its grant.
  static constexpr std::size_t kMaxRowsPerCandidate = 8;

  // `candidates` are the upstreams that can take keys. Rows for which
  // `table` says moving, and those of `pinned`, are left alone unless their
  // owner is no candidate. `pinned` holds whole rows, in order.
  static std::vector<KeyMove> Plan(
      const KeyTable& table,
      const std::vector<KeyOwnerCandidate>& candidates,
      const std::vector<KeyRange>& pinned,
      KeyLoad& load,
      BootTime now);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_PLANNER_H_
