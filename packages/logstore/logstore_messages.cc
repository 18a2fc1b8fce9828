// Messages, implemented with Boost.JSON. A malformed message has the error kind
// kLogUnavailable.

#include "logstore/logstore_messages.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

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

Result<std::vector<ListedInstance>> ParseInstances(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object object, ParseObject(text));
  const json::value* const entries = object.if_contains("instances");
  if (!entries || !entries->is_array())
    return Malformed("instances is missing");
  std::vector<ListedInstance> instances;
  for (const json::value& value : entries->get_array()) {
    if (!value.is_object())
      return Malformed("an instance is not an object");
    const json::object& entry = value.get_object();
    ListedInstance instance;
    std::string kind;
    std::string state;
    if (!ReadText(entry, "name", instance.name) ||
        !ReadText(entry, "kind", kind) ||
        !ReadText(entry, "zone", instance.zone) ||
        !ReadText(entry, "region", instance.region) ||
        !ReadText(entry, "address", instance.address) ||
        !ReadText(entry, "state", state))
      return Malformed("an instance without a required field");
    if (kind != "entry" && kind != "upstream")
      continue;
    const bool upstream = kind == "upstream";
    instance.kind = upstream ? ListedInstance::Kind::kUpstream
                             : ListedInstance::Kind::kEntry;
    if (upstream && !ReadText(entry, "service", instance.service))
      return Malformed("an upstream without service");
    if (!upstream && !ReadText(entry, "peer_address", instance.peer_address))
      return Malformed("an entry instance without peer_address");
    instance.leaving = state == "leaving";
    instances.push_back(std::move(instance));
  }
  return instances;
}

}  // namespace pollenrudder
