// The key assignments of one service.

#ifndef POLLENRUDDER_GRANTS_KEY_TABLE_H_
#define POLLENRUDDER_GRANTS_KEY_TABLE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "grants/key_assignment.h"

namespace pollenrudder {

// Rows sorted by key, without overlaps. A key without a row has no owner.
//
//   const KeyAssignment* row = table.Find(key);
class KeyTable {
 public:
  KeyTable() = default;
  // Precondition: the rows do not overlap. They may be in any order.
  explicit KeyTable(std::vector<KeyAssignment> rows);

  // Returns the row that contains `key`, or nullptr.
  const KeyAssignment* Find(KeyNumber key) const;

  // Replaces the assignments of the keys of `row`. Rows that overlap it
  // partially are cut and keep their tokens.
  void Assign(const KeyAssignment& row);

  // Returns the ranges without a row.
  std::vector<KeyRange> Gaps() const;

  std::span<const KeyAssignment> rows() const { return rows_; }
  // For changes that keep the key ranges.
  std::span<KeyAssignment> mutable_rows() { return rows_; }
  bool operator==(const KeyTable&) const = default;

 private:
  // Invariant: sorted by keys.first, without overlaps.
  std::vector<KeyAssignment> rows_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_TABLE_H_
