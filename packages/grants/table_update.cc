// Encodes table updates as JSON datagrams.

#include "grants/table_update.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/json_text.h"
#include "grants/grant_log_record.h"

namespace pollenrudder {

namespace json = boost::json;

std::optional<TableUpdate> MergeUpdates(
    const std::vector<TableUpdate>& updates) {
  if (updates.empty())
    return std::nullopt;
  TableUpdate merged;
  merged.unchanged_since = updates.front().unchanged_since;
  merged.offset = updates.front().offset;
  for (const TableUpdate& update : updates) {
    if (update.unchanged_since > merged.offset + 1)
      return std::nullopt;
    merged.offset = std::max(merged.offset, update.offset);
    if (update.term) {
      merged.term = update.term;
      merged.term_offset = update.term_offset;
    }
    if (update.service.empty())
      continue;
    if (!merged.service.empty())
      return std::nullopt;
    merged.service = update.service;
    merged.rows = update.rows;
  }
  return merged;
}

std::string EncodeTableUpdate(const TableUpdate& update) {
  json::array rows;
  for (const KeyAssignment& row : update.rows)
    rows.push_back(EncodeKeyRow(row));
  json::object fields{{"u", update.service},
                      {"o", update.offset},
                      {"p", update.unchanged_since},
                      {"r", std::move(rows)}};
  if (update.term) {
    fields["t"] = EncodeGrantTerm(*update.term);
    fields["s"] = update.term_offset;
  }
  return json::serialize(fields);
}

std::optional<TableUpdate> ParseTableUpdate(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    TableUpdate update;
    update.service = JsonText(value.at("u"));
    update.offset = value.at("o").to_number<std::uint64_t>();
    update.unchanged_since = value.at("p").to_number<std::uint64_t>();
    for (const json::value& row : value.at("r").as_array())
      update.rows.push_back(ParseKeyRow(row.as_array()));
    if (const json::value* term = value.as_object().if_contains("t")) {
      update.term = ParseGrantTerm(*term);
      // Updates of earlier versions contain one record and not this field.
      const json::value* offset = value.as_object().if_contains("s");
      update.term_offset =
          offset ? offset->to_number<std::uint64_t>() : update.offset;
    }
    return update;
  } catch (const std::exception&) {
    // Boost.JSON throws for a malformed datagram.
    return std::nullopt;
  }
}

}  // namespace pollenrudder
