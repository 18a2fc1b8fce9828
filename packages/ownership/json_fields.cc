// Checked conversions between JSON values and C++ types.

#include "ownership/json_fields.h"

#include <limits>

#include "ownership/log_record.h"

namespace pollenrudder {

namespace json = boost::json;

const json::value& RequireField(const json::object& object,
                                std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (!value)
    throw JsonFieldError("missing field " + std::string(name));
  return *value;
}

const json::array& RequireArray(const json::object& object,
                                std::string_view name) {
  const json::array* array = RequireField(object, name).if_array();
  if (!array)
    throw JsonFieldError("not an array: " + std::string(name));
  return *array;
}

std::string RequireString(const json::object& object, std::string_view name) {
  const json::string* text = RequireField(object, name).if_string();
  if (!text)
    throw JsonFieldError("not a string: " + std::string(name));
  return std::string(text->data(), text->size());
}

bool RequireBool(const json::object& object, std::string_view name) {
  const bool* flag = RequireField(object, name).if_bool();
  if (!flag)
    throw JsonFieldError("not a boolean: " + std::string(name));
  return *flag;
}

const json::object& AsObject(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    throw JsonFieldError("not an object");
  return *object;
}

std::uint64_t AsUnsigned(const json::value& value) {
  if (const std::uint64_t* number = value.if_uint64())
    return *number;
  const std::int64_t* number = value.if_int64();
  if (!number || *number < 0)
    throw JsonFieldError("not an unsigned integer");
  return static_cast<std::uint64_t>(*number);
}

std::uint64_t RequireUnsigned(const json::object& object,
                              std::string_view name) {
  return AsUnsigned(RequireField(object, name));
}

std::uint32_t RequireUnsigned32(const json::object& object,
                                std::string_view name) {
  const std::uint64_t number = RequireUnsigned(object, name);
  if (number > std::numeric_limits<std::uint32_t>::max())
    throw JsonFieldError("out of range: " + std::string(name));
  return static_cast<std::uint32_t>(number);
}

std::chrono::nanoseconds RequireNanoseconds(const json::object& object,
                                            std::string_view name) {
  const std::uint64_t number = RequireUnsigned(object, name);
  if (number >
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 2))
    throw JsonFieldError("out of range: " + std::string(name));
  return std::chrono::nanoseconds(number);
}

WallTime RequireWallTime(const json::object& object, std::string_view name) {
  // The largest number of whole milliseconds that WallTime can represent.
  constexpr std::uint64_t kMaximum =
      std::numeric_limits<std::int64_t>::max() / 1'000'000;
  const std::uint64_t number = RequireUnsigned(object, name);
  if (number > kMaximum)
    throw JsonFieldError("out of range: " + std::string(name));
  return WallTime(std::chrono::milliseconds(number));
}

std::int64_t WallMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

json::array EncodeVoters(const std::vector<Voter>& voters) {
  json::array array;
  for (const Voter& voter : voters) {
    array.push_back(json::object{{"instance", voter.instance},
                                 {"zone", voter.zone},
                                 {"peer", voter.peer_address}});
  }
  return array;
}

std::vector<Voter> DecodeVoters(const json::array& array) {
  std::vector<Voter> voters;
  for (const json::value& value : array) {
    const json::object& object = AsObject(value);
    voters.push_back({RequireString(object, "instance"),
                      RequireString(object, "zone"),
                      RequireString(object, "peer")});
  }
  return voters;
}

json::array EncodeFingerprints(const std::vector<std::uint64_t>& fingerprints) {
  json::array array;
  for (const std::uint64_t fingerprint : fingerprints)
    array.emplace_back(fingerprint);
  return array;
}

std::vector<std::uint64_t> DecodeFingerprints(const json::array& array) {
  std::vector<std::uint64_t> fingerprints;
  for (const json::value& value : array)
    fingerprints.push_back(AsUnsigned(value));
  return fingerprints;
}

TermKind RequireTermKind(const json::object& object, std::string_view name) {
  const std::string text = RequireString(object, name);
  for (const TermKind kind :
       {TermKind::kFirst, TermKind::kClaim, TermKind::kHandover,
        TermKind::kRevise, TermKind::kDeclaredLost}) {
    if (TermKindName(kind) == text)
      return kind;
  }
  throw JsonFieldError("unknown term kind " + text);
}

}  // namespace pollenrudder
