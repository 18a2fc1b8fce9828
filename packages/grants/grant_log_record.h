// The records that the granting duty keeps on the shared log.

#ifndef POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_
#define POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "base/result.h"
#include "grants/key_table.h"

namespace pollenrudder {

// The start of a term: `instance` alone grants keys from here on. Its offset
// is the number of the term.
struct GrantTermRecord {
  std::string instance;
  // Differs between the lives of one instance.
  std::string incarnation;
  // "ip:port" for reports of load.
  std::string report_address;
  // The instance ended its own term; no grant of it is on its way any more.
  bool resigned = false;
  // How long after this record an earlier holder may still send grants.
  std::chrono::milliseconds change_delay{0};
  // With `resigned`: how long after this record a grant without an answer may
  // still be in effect.
  std::chrono::milliseconds unanswered_grant_ttl{0};
  // With `resigned`: the instance that is to take over. Empty if that is the
  // one that has the turn.
  std::string successor;

  bool operator==(const GrantTermRecord&) const = default;
};

// All assignments of one service.
struct TableRecord {
  std::string service;
  KeyTable table;

  bool operator==(const TableRecord&) const = default;
};

// A record with its key, under which the log keeps the newest one for good.
struct GrantLogRecord {
  std::string key;
  std::string value;
};

using ParsedGrantLogRecord = std::variant<GrantTermRecord, TableRecord>;

GrantLogRecord EncodeGrantLogRecord(const GrantTermRecord& term);
// A term as it stands in a record.
boost::json::object EncodeGrantTerm(const GrantTermRecord& term);
// Throws, as Boost.JSON does, for a malformed term.
GrantTermRecord ParseGrantTerm(const boost::json::value& value);
GrantLogRecord EncodeGrantLogRecord(const TableRecord& table);
// One row as it stands in a record.
boost::json::array EncodeKeyRow(const KeyAssignment& row);
// Throws, as Boost.JSON does, for a malformed row.
KeyAssignment ParseKeyRow(const boost::json::array& fields);
// Fails with kUnsupportedRecord for a record of another writer.
Result<ParsedGrantLogRecord> ParseGrantLogRecord(const GrantLogRecord& record);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_LOG_RECORD_H_
