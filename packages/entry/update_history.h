// The last table updates that a relay forwarded.

#ifndef POLLENRUDDER_ENTRY_UPDATE_HISTORY_H_
#define POLLENRUDDER_ENTRY_UPDATE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "grants/table_update.h"

namespace pollenrudder {

// Lets an instance that missed an update get it from the relay of its zone. A
// read of the log would return the whole tables, and many instances miss an
// update at the same time when a link is full.
class UpdateHistory {
 public:
  void Add(const TableUpdate& update);
  // Returns the updates that lead from the log offset `next_offset` to the
  // present, in order; empty if they are not known any more.
  std::vector<TableUpdate> From(std::uint64_t next_offset) const;

 private:
  static constexpr std::size_t kMaxUpdates = 32;

  // Invariant: in order of offset, and each begins where the previous one ends.
  std::deque<TableUpdate> updates_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPDATE_HISTORY_H_
