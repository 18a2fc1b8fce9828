// Duty records as compact JSON: the log's traffic between regions is billed.

#include "grants/duty_record.h"

#include <optional>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "base/json_text.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

constexpr std::string_view kTermKey = "term";
constexpr std::string_view kTablePrefix = "keys/";
// The places of a row; the last three are there while keys move from an owner.
constexpr std::size_t kRowFields = 6;
constexpr std::size_t kMovingRowFields = 9;

Error Unsupported(const std::string& key) {
  return MakeError(ErrorKind::kUnsupportedRecord,
                   "record \"" + key + "\" cannot be read");
}

KeyNumber ToKey(const json::value& value) {
  const auto number = value.to_number<std::int64_t>();
  if (number < 0 || number >= static_cast<std::int64_t>(kKeyCount))
    throw std::out_of_range("key");
  return static_cast<KeyNumber>(number);
}

KeyTable ParseTable(const json::value& value) {
  KeyTable table;
  std::vector<KeyAssignment> rows;
  for (const json::value& fields : value.as_array()) {
    rows.push_back(ParseKeyRow(fields.as_array()));
    if (rows.size() > 1 &&
        rows[rows.size() - 2].keys.last >= rows.back().keys.first)
      throw std::out_of_range("order");
  }
  return KeyTable(std::move(rows));
}

}  // namespace

json::array EncodeKeyRow(const KeyAssignment& row) {
  json::array fields{row.keys.first,         row.keys.last, row.owner.name,
                     row.owner.born.count(), row.token,     row.moving ? 1 : 0};
  if (row.former) {
    fields.emplace_back(row.former->upstream.name);
    fields.emplace_back(row.former->upstream.born.count());
    fields.emplace_back(row.former->token);
  }
  return fields;
}

KeyAssignment ParseKeyRow(const json::array& fields) {
  if (fields.size() != kRowFields && fields.size() != kMovingRowFields)
    throw std::out_of_range("row");
  KeyAssignment row;
  row.keys = {ToKey(fields[0]), ToKey(fields[1])};
  if (row.keys.first > row.keys.last)
    throw std::out_of_range("range");
  row.owner.name = JsonText(fields[2]);
  row.owner.born =
      std::chrono::milliseconds(fields[3].to_number<std::int64_t>());
  row.token = fields[4].to_number<std::uint64_t>();
  row.moving = fields[5].to_number<std::int64_t>() != 0;
  if (fields.size() == kMovingRowFields) {
    FormerOwner former;
    former.upstream.name = JsonText(fields[6]);
    former.upstream.born =
        std::chrono::milliseconds(fields[7].to_number<std::int64_t>());
    former.token = fields[8].to_number<std::uint64_t>();
    row.former = former;
  }
  return row;
}

json::object EncodeTerm(const TermRecord& term) {
  return {
      {"instance", term.instance},      {"life", term.life},
      {"reports", term.report_address}, {"resigned", term.resigned},
      {"wait", term.wait.count()},      {"unanswered", term.unanswered.count()},
      {"successor", term.successor}};
}

TermRecord ParseTerm(const json::value& value) {
  TermRecord term;
  term.instance = JsonText(value.at("instance"));
  term.life = JsonText(value.at("life"));
  term.report_address = JsonText(value.at("reports"));
  term.resigned = value.at("resigned").as_bool();
  term.wait =
      std::chrono::milliseconds(value.at("wait").to_number<std::int64_t>());
  term.unanswered = std::chrono::milliseconds(
      value.at("unanswered").to_number<std::int64_t>());
  // Records of earlier versions do not have it.
  if (const json::value* successor = value.as_object().if_contains("successor"))
    term.successor = JsonText(*successor);
  return term;
}

DutyRecord EncodeDutyRecord(const TermRecord& term) {
  return {std::string(kTermKey), json::serialize(EncodeTerm(term))};
}

DutyRecord EncodeDutyRecord(const TableRecord& record) {
  json::array rows;
  for (const KeyAssignment& row : record.table.rows())
    rows.push_back(EncodeKeyRow(row));
  return {std::string(kTablePrefix) + record.service, json::serialize(rows)};
}

Result<ParsedDutyRecord> ParseDutyRecord(const DutyRecord& record) {
  try {
    const json::value value = json::parse(record.value);
    if (record.key == kTermKey)
      return ParsedDutyRecord(ParseTerm(value));
    if (record.key.starts_with(kTablePrefix)) {
      return ParsedDutyRecord(TableRecord{
          record.key.substr(kTablePrefix.size()), ParseTable(value)});
    }
  } catch (const std::exception&) {
    // Boost.JSON reports a missing or mistyped field by an exception.
    return Unsupported(record.key);
  }
  return Unsupported(record.key);
}

}  // namespace pollenrudder
