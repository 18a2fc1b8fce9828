// Chooses the upstreams that own keys.

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

// Assigns keys to another owner. The keys lie within one row of the table or
// within a gap.
struct KeyMove {
  KeyRange keys;
  UpstreamIncarnation to;
};

// Plans the moves of the keys of one service:
// - keys without a usable owner go to the least loaded upstreams;
// - an upstream without keys gets some;
// - the busiest keys of an overloaded upstream go to the least loaded
//   upstreams, in ranges as small as a single key.
class KeyPlanner {
 public:
  // Rows of a table per candidate. Each row costs calls that renew its grant.
  static constexpr std::size_t kMaxRowsPerCandidate = 8;

  // `candidates` are the upstreams that can take keys. Rows that `table` marks
  // as moving and rows in `pinned` keep their owner if that is a candidate.
  // `pinned` holds whole rows in key order.
  static std::vector<KeyMove> Plan(
      const KeyTable& table,
      const std::vector<KeyOwnerCandidate>& candidates,
      const std::vector<KeyRange>& pinned,
      KeyLoad& load,
      BootTime now);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_PLANNER_H_
