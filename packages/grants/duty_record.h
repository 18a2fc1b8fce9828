// The records that the granting duty keeps on the shared log.

#ifndef POLLENRUDDER_GRANTS_DUTY_RECORD_H_
#define POLLENRUDDER_GRANTS_DUTY_RECORD_H_

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
struct TermRecord {
  std::string instance;
  // Differs between the lives of one instance.
  std::string life;
  // "ip:port" for reports of load.
  std::string report_address;
  // The instance ended its own term; no grant of it is on its way any more.
  bool resigned = false;
  // How long after this record an earlier holder may still send grants.
  std::chrono::milliseconds wait{0};
  // With `resigned`: how long after this record a grant without an answer may
  // still be in effect.
  std::chrono::milliseconds unanswered{0};
  // With `resigned`: the instance that is to take over. Empty if that is the
  // one that has the turn.
  std::string successor;

  bool operator==(const TermRecord&) const = default;
};

// All assignments of one service.
struct TableRecord {
  std::string service;
  KeyTable table;

  bool operator==(const TableRecord&) const = default;
};

// A record with its key, under which the log keeps the newest one for good.
struct DutyRecord {
  std::string key;
  std::string value;
};

using ParsedDutyRecord = std::variant<TermRecord, TableRecord>;

DutyRecord EncodeDutyRecord(const TermRecord& term);
// A term as it stands in a record.
boost::json::object EncodeTerm(const TermRecord& term);
// Throws, as Boost.JSON does, for a malformed term.
TermRecord ParseTerm(const boost::json::value& value);
DutyRecord EncodeDutyRecord(const TableRecord& table);
// One row as it stands in a record.
boost::json::array EncodeKeyRow(const KeyAssignment& row);
// Throws, as Boost.JSON does, for a malformed row.
KeyAssignment ParseKeyRow(const boost::json::array& fields);
// Fails with kUnsupportedRecord for a record of another writer.
Result<ParsedDutyRecord> ParseDutyRecord(const DutyRecord& record);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_DUTY_RECORD_H_
