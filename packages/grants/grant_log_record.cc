// Encodes the records as compact JSON, because log traffic between regions is
// billed.

#include "grants/grant_log_record.h"

#include <optional>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "base/json_text.h"
#include "http/deflate.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

// The first byte of a compressed value; the others are JSON, which does not
// begin with it.
constexpr char kCompressed = 'z';
// Tables of hundreds of upstreams are compressed: a record is read by many
// instances, and the store limits its size.
constexpr std::size_t kMinCompressedBytes = 16 << 10;
constexpr std::size_t kMaxTextBytes = 8 << 20;
constexpr std::string_view kTermKey = "term";
constexpr std::string_view kTablePrefix = "keys/";
// Number of fields of a row. The last three of a moving row describe the former
// owner.
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
  json::array fields{row.keys.first, row.keys.last,
                     row.owner.name, row.owner.started_at.count(),
                     row.token,      row.moving ? 1 : 0};
  if (row.former) {
    fields.emplace_back(row.former->upstream.name);
    fields.emplace_back(row.former->upstream.started_at.count());
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
  row.owner.started_at =
      std::chrono::milliseconds(fields[3].to_number<std::int64_t>());
  row.token = fields[4].to_number<std::uint64_t>();
  row.moving = fields[5].to_number<std::int64_t>() != 0;
  if (fields.size() == kMovingRowFields) {
    FormerOwner former;
    former.upstream.name = JsonText(fields[6]);
    former.upstream.started_at =
        std::chrono::milliseconds(fields[7].to_number<std::int64_t>());
    former.token = fields[8].to_number<std::uint64_t>();
    row.former = former;
  }
  return row;
}

json::object EncodeGrantTerm(const GrantTermRecord& term) {
  return {{"instance", term.instance},
          {"life", term.incarnation},
          {"reports", term.report_address},
          {"resigned", term.resigned},
          {"wait", term.change_delay.count()},
          {"unanswered", term.unanswered_grant_ttl.count()},
          {"successor", term.successor}};
}

GrantTermRecord ParseGrantTerm(const json::value& value) {
  GrantTermRecord term;
  term.instance = JsonText(value.at("instance"));
  term.incarnation = JsonText(value.at("life"));
  term.report_address = JsonText(value.at("reports"));
  term.resigned = value.at("resigned").as_bool();
  term.change_delay =
      std::chrono::milliseconds(value.at("wait").to_number<std::int64_t>());
  term.unanswered_grant_ttl = std::chrono::milliseconds(
      value.at("unanswered").to_number<std::int64_t>());
  // Records of earlier versions do not have this field.
  if (const json::value* successor = value.as_object().if_contains("successor"))
    term.successor = JsonText(*successor);
  return term;
}

GrantLogRecord EncodeGrantLogRecord(const GrantTermRecord& term) {
  return {std::string(kTermKey), json::serialize(EncodeGrantTerm(term))};
}

GrantLogRecord EncodeGrantLogRecord(const TableRecord& record) {
  json::array rows;
  for (const KeyAssignment& row : record.table.rows())
    rows.push_back(EncodeKeyRow(row));
  std::string value = json::serialize(rows);
  if (value.size() >= kMinCompressedBytes)
    value = kCompressed + Deflate(value);
  return {std::string(kTablePrefix) + record.service, std::move(value)};
}

bool IsTermKey(std::string_view key) {
  return key == kTermKey;
}

std::optional<std::string> ServiceOfTableKey(std::string_view key) {
  if (!key.starts_with(kTablePrefix))
    return std::nullopt;
  return std::string(key.substr(kTablePrefix.size()));
}

Result<ParsedGrantLogRecord> ParseGrantLogRecord(const GrantLogRecord& record) {
  std::optional<std::string> inflated;
  if (record.value.starts_with(kCompressed)) {
    inflated = Inflate(std::string_view(record.value).substr(1), kMaxTextBytes);
    if (!inflated)
      return Unsupported(record.key);
  }
  try {
    const json::value value = json::parse(inflated ? *inflated : record.value);
    if (IsTermKey(record.key))
      return ParsedGrantLogRecord(ParseGrantTerm(value));
    if (auto service = ServiceOfTableKey(record.key)) {
      return ParsedGrantLogRecord(
          TableRecord{std::move(*service), ParseTable(value)});
    }
  } catch (const std::exception&) {
    // Boost.JSON throws for a missing or mistyped field.
    return Unsupported(record.key);
  }
  return Unsupported(record.key);
}

}  // namespace pollenrudder
