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

// The rows that a log record changed, the term that it started or ended, or
// what several records changed together. Sent after the records were appended,
// so it contains nothing that is not on the log.
//
// Invariant: applied to any state that includes the log up to some offset from
// `unchanged_since` to `offset`, it yields the state after `offset`.
struct TableUpdate {
  // The service of `rows`; empty if no table changed.
  std::string service;
  // The offset of the last record.
  std::uint64_t offset = 0;
  // The update includes each record from this offset up to `offset` that
  // changed a table or the leader.
  std::uint64_t unchanged_since = 0;
  std::vector<KeyAssignment> rows;
  std::optional<GrantTermRecord> term;
  // The offset of the record of `term`.
  std::uint64_t term_offset = 0;
};

// Returns one update for all of `updates`, of which the first has the lowest
// `unchanged_since`. Nothing if they change several tables, if a change between
// them is missing, or if there are none.
std::optional<TableUpdate> MergeUpdates(
    const std::vector<TableUpdate>& updates);

std::string EncodeTableUpdate(const TableUpdate& update);
// Returns nothing if the datagram is not a table update.
std::optional<TableUpdate> ParseTableUpdate(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_TABLE_UPDATE_H_
