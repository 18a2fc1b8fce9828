// A change of a key table or of the term, sent from the leader to other
// instances.

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

// The rows that a log record changed, or the term that it started or ended.
// Sent after the record was appended, so it contains nothing that is not on the
// log.
struct TableUpdate {
  // Empty if the update contains a term.
  std::string service;
  // The offset of the record.
  std::uint64_t offset = 0;
  // No record from this offset up to `offset` changed a table or the leader.
  // The update applies only to a state that includes the log up to here.
  std::uint64_t unchanged_since = 0;
  std::vector<KeyAssignment> rows;
  std::optional<GrantTermRecord> term;
};

std::string EncodeTableUpdate(const TableUpdate& update);
// Returns nothing if the datagram is not a table update.
std::optional<TableUpdate> ParseTableUpdate(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_TABLE_UPDATE_H_
