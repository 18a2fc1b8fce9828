// UpdateHistory: a bounded chain of updates.

#include "entry/update_history.h"

#include <algorithm>

namespace pollenrudder {

void UpdateHistory::Add(const TableUpdate& update) {
  if (!updates_.empty() && update.offset <= updates_.back().offset)
    return;
  if (!updates_.empty() && update.unchanged_since > updates_.back().offset + 1)
    updates_.clear();
  updates_.push_back(update);
  if (updates_.size() > kMaxUpdates)
    updates_.pop_front();
}

std::vector<TableUpdate> UpdateHistory::From(std::uint64_t next_offset) const {
  const auto first =
      std::ranges::find_if(updates_, [next_offset](const TableUpdate& update) {
        return update.offset >= next_offset;
      });
  if (first == updates_.end() || first->unchanged_since > next_offset)
    return {};
  return {first, updates_.end()};
}

}  // namespace pollenrudder
