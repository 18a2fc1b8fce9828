// KeyTable: a sorted vector of rows.

#include "grants/key_table.h"

#include <algorithm>
#include <cassert>
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
  std::vector<KeyAssignment> rows;
  rows.reserve(rows_.size() + 2);
  for (const KeyAssignment& old : rows_) {
    if (!old.keys.Overlaps(row.keys)) {
      rows.push_back(old);
      continue;
    }
    if (old.keys.first < row.keys.first) {
      KeyAssignment before = old;
      before.keys.last = static_cast<KeyNumber>(row.keys.first - 1);
      rows.push_back(before);
    }
    if (old.keys.last > row.keys.last) {
      KeyAssignment after = old;
      after.keys.first = static_cast<KeyNumber>(row.keys.last + 1);
      rows.push_back(after);
    }
  }
  rows.push_back(row);
  *this = KeyTable(std::move(rows));
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
