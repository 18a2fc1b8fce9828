// The records that GrantCoordinator writes to the shared log.

#ifndef POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_
#define POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "base/result.h"
#include "grants/key_table.h"

namespace pollenrudder {

// Starts a term: from this record on, only `instance` grants keys. The offset
// of the record is the number of the term.
struct GrantTermRecord {
  std::string instance;
  // Differs between the incarnations of one instance.
  std::string incarnation;
  // "ip:port" that receives load reports.
  std::string report_address;
  // The instance ended its own term and has no grant call in progress.
  bool resigned = false;
  // How long after this record an earlier leader may still send grants. Until
  // then, only assignments whose owner has accepted a grant of the new term may
  // change.
  std::chrono::milliseconds change_delay{0};
  // With `resigned`: how long after this record an unanswered grant may still
  // be in effect.
  std::chrono::milliseconds unanswered_grant_ttl{0};
  // With `resigned`: the instance that takes over. Empty for the preferred
  // leader of the group.
  std::string successor;

  bool operator==(const GrantTermRecord&) const = default;
};

// All assignments of one service.
struct TableRecord {
  std::string service;
  KeyTable table;

  bool operator==(const TableRecord&) const = default;
};

// A record and its key. The log retains the newest record of each key.
struct GrantLogRecord {
  std::string key;
  std::string value;
};

using ParsedGrantLogRecord = std::variant<GrantTermRecord, TableRecord>;

GrantLogRecord EncodeGrantLogRecord(const GrantTermRecord& term);
// Encodes the value of a term record.
boost::json::object EncodeGrantTerm(const GrantTermRecord& term);
// Throws the exceptions of Boost.JSON for a malformed term.
GrantTermRecord ParseGrantTerm(const boost::json::value& value);
GrantLogRecord EncodeGrantLogRecord(const TableRecord& table);
// Encodes one row of a table record.
boost::json::array EncodeKeyRow(const KeyAssignment& row);
// Throws the exceptions of Boost.JSON for a malformed row, and
// std::out_of_range for invalid keys.
KeyAssignment ParseKeyRow(const boost::json::array& fields);
// Whether records with this key start or end terms.
bool IsTermKey(std::string_view key);
// Returns the service if records with this key contain key tables.
std::optional<std::string> ServiceOfTableKey(std::string_view key);
// Fails with kUnsupportedRecord if the record is malformed or has an unknown
// key.
Result<ParsedGrantLogRecord> ParseGrantLogRecord(const GrantLogRecord& record);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_
