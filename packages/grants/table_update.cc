// Encodes table updates as JSON datagrams.

#include "grants/table_update.h"

#include <boost/json.hpp>

#include "base/json_text.h"
#include "grants/grant_log_record.h"

namespace pollenrudder {

namespace json = boost::json;

std::string EncodeTableUpdate(const TableUpdate& update) {
  json::array rows;
  for (const KeyAssignment& row : update.rows)
    rows.push_back(EncodeKeyRow(row));
  json::object fields{{"u", update.service},
                      {"o", update.offset},
                      {"p", update.unchanged_since},
                      {"r", std::move(rows)}};
  if (update.term)
    fields["t"] = EncodeGrantTerm(*update.term);
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
    if (const json::value* term = value.as_object().if_contains("t"))
      update.term = ParseGrantTerm(*term);
    return update;
  } catch (const std::exception&) {
    // Boost.JSON throws for a malformed datagram.
    return std::nullopt;
  }
}

}  // namespace pollenrudder
