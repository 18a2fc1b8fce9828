// Text form of RequestId: encoding and parsing.

#include "routing/request_id.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cstddef>
#include <limits>

#include <xxhash.h>

namespace pollenrudder {

namespace {

constexpr std::string_view kFormat = "1";
constexpr std::size_t kCheckDigits = 8;
constexpr std::size_t kParts = 8;
// The largest time that a BootTime, which counts nanoseconds, can represent.
constexpr std::uint64_t kMaxMilliseconds =
    std::numeric_limits<std::int64_t>::max() / 1000000;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsUnescaped(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_';
}

void AppendName(std::string_view name, std::string& text) {
  for (const char character : name) {
    if (IsUnescaped(character)) {
      text += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    text += '%';
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
}

std::string ComputeCheck(std::string_view text) {
  auto hash = static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
  std::string check(kCheckDigits, '0');
  for (std::size_t digit = kCheckDigits; digit-- > 0; hash >>= 4)
    check[digit] = kHexDigits[hash & 15];
  return check;
}

Error Invalid(const std::string& message) {
  return MakeError(ErrorKind::kInvalidRequestId, "request id: " + message);
}

Result<std::string> ParseName(std::string_view text, const char* part) {
  std::string name;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsUnescaped(text[i])) {
      name += text[i];
      continue;
    }
    if (text[i] != '%' || text.size() - i < 3)
      return Invalid(std::string("invalid character in the ") + part);
    const std::size_t high = kHexDigits.find(text[i + 1]);
    const std::size_t low = kHexDigits.find(text[i + 2]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return Invalid(std::string("invalid percent-encoding in the ") + part);
    const char character = static_cast<char>(high << 4 | low);
    if (IsUnescaped(character))
      return Invalid(std::string("needless percent-encoding in the ") + part);
    name += character;
    i += 2;
  }
  if (name.empty())
    return Invalid(std::string("the ") + part + " is empty");
  return name;
}

Result<std::uint64_t> ParseNumber(std::string_view text,
                                  std::uint64_t maximum,
                                  const char* part) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  const bool leading_zero = text.size() > 1 && text.front() == '0';
  if (text.empty() || error != std::errc() || stop != end || leading_zero)
    return Invalid(std::string("the ") + part + " is not a number");
  if (value > maximum)
    return Invalid(std::string("the ") + part + " is out of range");
  return value;
}

}  // namespace

std::string RequestId::ToText() const {
  assert(!service.empty() && !upstream.empty());
  std::string text(kFormat);
  text += '.';
  AppendName(service, text);
  text += '.';
  AppendName(upstream, text);
  for (const std::uint64_t number :
       {static_cast<std::uint64_t>(shard), static_cast<std::uint64_t>(epoch),
        static_cast<std::uint64_t>(issued_at.count()), sequence}) {
    text += '.';
    text += std::to_string(number);
  }
  const std::string check = ComputeCheck(text);
  text += '.';
  text += check;
  return text;
}

Result<RequestId> RequestId::Parse(std::string_view text) {
  if (text.size() > kMaxTextBytes)
    return Invalid("longer than " + std::to_string(kMaxTextBytes) + " bytes");
  std::array<std::string_view, kParts> parts;
  std::size_t count = 0;
  std::size_t start = 0;
  for (;;) {
    const std::size_t dot = text.find('.', start);
    if (count == kParts)
      return Invalid("more than 8 parts");
    parts[count++] = text.substr(start, dot - start);
    if (dot == std::string_view::npos)
      break;
    start = dot + 1;
  }
  if (parts[0] != kFormat)
    return Invalid("the format is not 1");
  if (count < kParts)
    return Invalid("fewer than 8 parts");
  const std::string_view check = parts[kParts - 1];
  const std::string_view checked =
      text.substr(0, text.size() - check.size() - 1);
  if (check != ComputeCheck(checked))
    return Invalid("the check does not match");

  RequestId id;
  BOOST_OUTCOME_TRY(id.service, ParseName(parts[1], "service"));
  BOOST_OUTCOME_TRY(id.upstream, ParseName(parts[2], "upstream"));
  BOOST_OUTCOME_TRY(
      const std::uint64_t shard,
      ParseNumber(parts[3], std::numeric_limits<std::uint32_t>::max(),
                  "shard"));
  id.shard = static_cast<std::uint32_t>(shard);
  constexpr auto kMaxNumber = std::numeric_limits<std::uint64_t>::max();
  BOOST_OUTCOME_TRY(id.epoch, ParseNumber(parts[4], kMaxNumber, "epoch"));
  BOOST_OUTCOME_TRY(const std::uint64_t issued,
                    ParseNumber(parts[5], kMaxMilliseconds, "issue time"));
  id.issued_at = std::chrono::milliseconds(issued);
  BOOST_OUTCOME_TRY(id.sequence, ParseNumber(parts[6], kMaxNumber, "sequence"));
  return id;
}

}  // namespace pollenrudder
