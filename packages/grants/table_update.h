// A change of a key table, sent from instance to instance.

#ifndef POLLENRUDDER_GRANTS_TABLE_UPDATE_H_
#define POLLENRUDDER_GRANTS_TABLE_UPDATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "grants/grant_log_record.h"
#include "grants/key_assignment.h"

namespace pollenrudder {

// The rows that a record on the log changed, or the term that it started or
// ended. It is sent after the record has been appended, so that it says nothing
// that the log does not say.
struct TableUpdate {
  // Empty for a term.
  std::string service;
  // The offset of the record.
  std::uint64_t offset = 0;
  // Neither a table nor the holder changed from this offset on up to the
  // record. An update can be applied only by a reader that has read the log up
  // to here.
  std::uint64_t unchanged_since = 0;
  std::vector<KeyAssignment> rows;
  std::optional<GrantTermRecord> term;
};

std::string EncodeTableUpdate(const TableUpdate& update);
// Returns nothing for a datagram that is no update.
std::optional<TableUpdate> ParseTableUpdate(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_TABLE_UPDATE_H_
