// Messages, implemented with Boost.JSON. A malformed message has the error kind
// kLogUnavailable.

#include "logstore/logstore_messages.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "base/socket_address.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

Error Malformed(const char* what) {
  return MakeError(ErrorKind::kLogUnavailable,
                   std::string("malformed response: ") + what);
}

Result<json::object> ParseObject(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object())
    return Malformed("not a JSON object");
  return std::move(value.get_object());
}

// Reads a non-negative integer.
bool ReadOffset(const json::object& object,
                std::string_view name,
                LogOffset& offset) {
  const json::value* const value = object.if_contains(name);
  if (!value)
    return false;
  json::error_code error;
  offset = value->to_number<LogOffset>(error);
  return !error;
}

bool ReadText(const json::object& object,
              std::string_view name,
              std::string& text) {
  const json::value* const value = object.if_contains(name);
  if (!value || !value->is_string())
    return false;
  text = value->get_string();
  return true;
}

// Returns the text with null in place of each value that is nested deeper than
// the fields of an entry, and 0 in place of each number. The list has no such
// field that is read, but the parser fails for the whole list if one of them is
// out of its range.
std::string WithoutUnreadValues(std::string_view text) {
  constexpr std::size_t kMaxDepth = 8;
  constexpr std::string_view kNumberCharacters = "0123456789+-.eE";
  std::string result;
  result.reserve(text.size());
  std::size_t depth = 0;
  for (std::size_t start = 0, end = 0; start < text.size(); start = end) {
    const char first = text[start];
    end = start + 1;
    std::string_view token = text.substr(start, 1);
    if (first == '"') {
      while (end < text.size() && text[end] != '"')
        end += text[end] == '\\' ? 2 : 1;
      end = std::min(end + 1, text.size());
      token = text.substr(start, end - start);
    } else if (first == '-' || (first >= '0' && first <= '9')) {
      end = std::min(text.find_first_not_of(kNumberCharacters, start),
                     text.size());
      token = "0";
    } else if ((first == '[' || first == '{') && ++depth == kMaxDepth + 1) {
      result += "null";
    }
    if (depth <= kMaxDepth)
      result += token;
    if ((first == ']' || first == '}') && depth > 0)
      --depth;
  }
  return result;
}

bool IsUsableAddress(std::string_view address) {
  const auto endpoint = ParseSocketAddress(address);
  return endpoint && endpoint.assume_value().port() != 0;
}

// Returns the instance that a list entry describes, or nothing if the entry is
// malformed.
std::optional<ListedInstance> ParseInstance(const json::object& entry,
                                            const std::string& kind) {
  ListedInstance instance;
  std::string state;
  if (!ReadText(entry, "name", instance.name) ||
      !ReadText(entry, "zone", instance.zone) ||
      !ReadText(entry, "region", instance.region) ||
      !ReadText(entry, "address", instance.address) ||
      !ReadText(entry, "state", state))
    return std::nullopt;
  const bool upstream = kind == "upstream";
  instance.kind =
      upstream ? ListedInstance::Kind::kUpstream : ListedInstance::Kind::kEntry;
  if (upstream && (!ReadText(entry, "service", instance.service) ||
                   !IsUsableAddress(instance.address)))
    return std::nullopt;
  if (!upstream && (!ReadText(entry, "peer_address", instance.peer_address) ||
                    !IsUsableAddress(instance.peer_address)))
    return std::nullopt;
  instance.leaving = state == "leaving";
  return instance;
}

// Returns the instance of the last list whose entry is malformed now, or null.
const ListedInstance* FindPrevious(const json::value& entry,
                                   const std::vector<ListedInstance>& last) {
  std::string name;
  if (!entry.is_object() || !ReadText(entry.get_object(), "name", name))
    return nullptr;
  const auto found = std::ranges::find(last, name, &ListedInstance::name);
  return found == last.end() ? nullptr : &*found;
}

}  // namespace

std::string RecordsTarget(LogOffset from,
                          std::size_t limit,
                          std::chrono::milliseconds wait) {
  std::string target = "/v1/records?from=" + std::to_string(from) +
                       "&limit=" + std::to_string(limit);
  if (wait.count() > 0)
    target += "&wait_ms=" + std::to_string(wait.count());
  return target;
}

Result<LogRecordsRead> ParseRecords(std::string_view text,
                                    LogOffset from,
                                    std::size_t limit) {
  BOOST_OUTCOME_TRY(const json::object object, ParseObject(text));
  LogRecordsRead read;
  LogOffset log_next = kNoOffset;
  const json::value* const records = object.if_contains("records");
  if (!ReadOffset(object, "first", read.first_retained) ||
      !ReadOffset(object, "next", log_next) || !records || !records->is_array())
    return Malformed("first, next or records is missing");
  for (const json::value& value : records->get_array()) {
    RawLogRecord record;
    if (!value.is_object() ||
        !ReadOffset(value.get_object(), "offset", record.offset) ||
        !ReadText(value.get_object(), "data", record.data))
      return Malformed("a record without offset or data");
    if (record.offset < from ||
        (!read.records.empty() &&
         record.offset != read.records.back().offset + 1))
      return Malformed("record offsets out of order");
    read.records.push_back(std::move(record));
  }
  read.next = read.records.empty() ? log_next : read.records.back().offset + 1;
  read.reached_end = read.records.size() < limit && log_next <= read.next;
  return read;
}

std::string AppendBody(std::string_view data) {
  json::object body;
  body["data"] = data;
  return json::serialize(body);
}

Result<LogOffset> ParseAppendResponse(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object object, ParseObject(text));
  LogOffset offset = kNoOffset;
  if (!ReadOffset(object, "offset", offset) || offset == kNoOffset)
    return Malformed("append response without offset");
  return offset;
}

Result<InstanceListRead> ParseInstances(
    std::string_view text,
    const std::vector<ListedInstance>& last) {
  BOOST_OUTCOME_TRY(const json::object object,
                    ParseObject(WithoutUnreadValues(text)));
  const json::value* const entries = object.if_contains("instances");
  if (!entries || !entries->is_array())
    return Malformed("instances is missing");
  InstanceListRead read;
  for (const json::value& value : entries->get_array()) {
    std::string kind;
    const bool has_kind =
        value.is_object() && ReadText(value.get_object(), "kind", kind);
    if (has_kind && kind != "entry" && kind != "upstream")
      continue;
    std::optional<ListedInstance> instance;
    if (has_kind)
      instance = ParseInstance(value.get_object(), kind);
    if (!instance) {
      ++read.malformed_entries;
      if (const ListedInstance* const previous = FindPrevious(value, last))
        instance = *previous;
    }
    if (instance)
      read.instances.push_back(std::move(*instance));
  }
  return read;
}

}  // namespace pollenrudder
