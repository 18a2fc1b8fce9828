// Tests of the text form of request ids.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routing/request_id.h"

namespace pollenrudder {
namespace {

RequestId AnyId() {
  RequestId id;
  id.service = *rc::gen::nonEmpty<std::string>();
  id.upstream = *rc::gen::nonEmpty<std::string>();
  id.shard = *rc::gen::arbitrary<std::uint32_t>();
  id.epoch = *rc::gen::arbitrary<std::uint64_t>();
  id.issued_at = std::chrono::milliseconds(
      *rc::gen::inRange<std::int64_t>(0, 9223372036854));
  id.sequence = *rc::gen::arbitrary<std::uint64_t>();
  return id;
}

RequestId BookingId() {
  return {
      "crewdesk", "crewdesk-3", 0, 1207, std::chrono::milliseconds(86400000),
      42};
}

TEST_CASE("An id parsed from its text form is unchanged") {
  rc::prop("any id", [] {
    const RequestId id = AnyId();
    const std::string text = id.ToText();
    const Result<RequestId> parsed = RequestId::Parse(text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == id);
    for (const char character : text)
      RC_ASSERT(character > ' ' && character < 127 && character != ',');
  });
}

// Guards against an id that a client library has truncated or changed: the
// remaining text could be the valid id of another request.
TEST_CASE("A damaged id is refused") {
  rc::prop("one byte replaced or the end cut off", [] {
    const std::string text = AnyId().ToText();
    std::string damaged = text;
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>())
      damaged.resize(position);
    else
      damaged[position] = *rc::gen::arbitrary<char>();
    RC_PRE(damaged != text);
    const Result<RequestId> parsed = RequestId::Parse(damaged);
    RC_ASSERT(parsed.has_error());
    RC_ASSERT(parsed.error().kind == ErrorKind::kInvalidRequestId);
  });
}

// Guards against crashes of the parser, and against two text forms of one id.
TEST_CASE("Any text is either refused or the text form of the parsed id") {
  rc::prop("arbitrary bytes", [](const std::string& text) {
    const Result<RequestId> parsed = RequestId::Parse(text);
    if (parsed.has_value())
      RC_ASSERT(parsed.value().ToText() == text);
  });
}

TEST_CASE("Error messages name the invalid part") {
  const auto message = [](std::string_view text) {
    return RequestId::Parse(text).error().message;
  };
  CHECK(message("") == "request id: the format is not 1");
  CHECK(message("2.a.b.0.1.2.3.00000000") == "request id: the format is not 1");
  CHECK(message("1.a.b") == "request id: fewer than 8 parts");
  CHECK(message("1.a.b.0.1.2.3.4.5") == "request id: more than 8 parts");
  CHECK(message(BookingId().ToText() + "0") ==
        "request id: the check does not match");
  CHECK(message(std::string(RequestId::kMaxTextBytes + 1, '1')) ==
        "request id: longer than 4096 bytes");
}

// Guards against a change of the format. During a rolling restart, two versions
// of the daemon parse the same ids.
TEST_CASE("The text form does not change") {
  CHECK(BookingId().ToText() ==
        "1.crewdesk.crewdesk-3.0.1207.86400000.42.7b4e4c90");
}

}  // namespace
}  // namespace pollenrudder
