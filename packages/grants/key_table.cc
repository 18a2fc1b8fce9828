// KeyTable: a sorted vector of rows.

#include "grants/key_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace pollenrudder {

KeyTable::KeyTable(std::vector<KeyAssignment> rows) : rows_(std::move(rows)) {
  std::ranges::sort(rows_, {},
                    [](const KeyAssignment& row) { return row.keys.first; });
  for (std::size_t index = 1; index < rows_.size(); ++index)
    assert(rows_[index - 1].keys.last < rows_[index].keys.first);
}

const KeyAssignment* KeyTable::Find(KeyNumber key) const {
  const auto after = std::ranges::upper_bound(
      rows_, key, {}, [](const KeyAssignment& row) { return row.keys.first; });
  if (after == rows_.begin())
    return nullptr;
  const KeyAssignment& row = *std::prev(after);
  return row.keys.Contains(key) ? &row : nullptr;
}

void KeyTable::Assign(const KeyAssignment& row) {
  const auto first = std::ranges::lower_bound(
      rows_, row.keys.first, {},
      [](const KeyAssignment& old) { return old.keys.last; });
  const auto last = std::find_if(
      first, rows_.end(),
      [&](const KeyAssignment& old) { return old.keys.first > row.keys.last; });
  // The rows that replace those from `first` to `last`.
  std::vector<KeyAssignment> replacement;
  replacement.reserve(3);
  if (first != last && first->keys.first < row.keys.first) {
    replacement.push_back(*first);
    replacement.back().keys.last = static_cast<KeyNumber>(row.keys.first - 1);
  }
  replacement.push_back(row);
  if (first != last && std::prev(last)->keys.last > row.keys.last) {
    replacement.push_back(*std::prev(last));
    replacement.back().keys.first = static_cast<KeyNumber>(row.keys.last + 1);
  }
  const auto overwritten = std::min(last - first, std::ssize(replacement));
  const auto next =
      std::move(replacement.begin(), replacement.begin() + overwritten, first);
  if (overwritten < last - first) {
    rows_.erase(next, last);
  } else {
    rows_.insert(next,
                 std::make_move_iterator(replacement.begin() + overwritten),
                 std::make_move_iterator(replacement.end()));
  }
}

std::vector<KeyRange> KeyTable::Gaps() const {
  std::vector<KeyRange> gaps;
  std::uint32_t next = 0;
  for (const KeyAssignment& row : rows_) {
    if (row.keys.first > next) {
      gaps.push_back({static_cast<KeyNumber>(next),
                      static_cast<KeyNumber>(row.keys.first - 1)});
    }
    next = static_cast<std::uint32_t>(row.keys.last) + 1;
  }
  if (next < kKeyCount) {
    gaps.push_back(
        {static_cast<KeyNumber>(next), static_cast<KeyNumber>(kKeyCount - 1)});
  }
  return gaps;
}

}  // namespace pollenrudder
