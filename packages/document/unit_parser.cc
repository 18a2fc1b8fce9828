// Parsers of numbers, values with units, times and addresses.

#include "document/unit_parser.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <limits>
#include <string>

namespace pollenrudder {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

// The first match is used, so a suffix precedes the suffixes that it ends with.
constexpr std::array<Unit, 4> kDurationUnits = {
    {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
constexpr std::array<Unit, 3> kSizeUnits = {
    {{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}};

// Limit at which the product of a number and a unit fits 63 bits.
constexpr std::uint64_t kMaxNumber = 1'000'000'000'000;

template <typename Units>
std::optional<std::uint64_t> ParseWithUnit(std::string_view text,
                                           const Units& units) {
  for (const Unit& unit : units) {
    if (!text.ends_with(unit.suffix))
      continue;
    text.remove_suffix(unit.suffix.size());
    const auto number = ParseWholeNumber(text);
    if (!number)
      return std::nullopt;
    return *number * unit.factor;
  }
  return std::nullopt;
}

// Removes exactly `digits` decimal digits from the front of `text` and returns
// their value.
std::optional<int> ConsumeDigits(std::string_view& text, std::size_t digits) {
  if (text.size() < digits)
    return std::nullopt;
  const std::string_view number = text.substr(0, digits);
  if (number.find_first_not_of("0123456789") != std::string_view::npos)
    return std::nullopt;
  int value = 0;
  std::from_chars(number.data(), number.data() + digits, value);
  text.remove_prefix(digits);
  return value;
}

// Removes `expected` from the front of `text`. Returns false if it is not
// there.
bool ConsumeCharacter(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected)
    return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<std::uint64_t> ParseWholeNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || stop != end || value > kMaxNumber)
    return std::nullopt;
  return value;
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  const auto value = ParseWithUnit(text, kDurationUnits);
  if (!value)
    return std::nullopt;
  return std::chrono::milliseconds(*value);
}

std::optional<std::uint64_t> ParseByteSize(std::string_view text) {
  return ParseWithUnit(text, kSizeUnits);
}

std::optional<std::uint64_t> ParsePercentage(std::string_view text) {
  if (!text.ends_with('%'))
    return std::nullopt;
  text.remove_suffix(1);
  return ParseWholeNumber(text);
}

std::optional<WallTime> ParseUtcTime(std::string_view text) {
  const auto year = ConsumeDigits(text, 4);
  if (!year || !ConsumeCharacter(text, '-'))
    return std::nullopt;
  const auto month = ConsumeDigits(text, 2);
  if (!month || !ConsumeCharacter(text, '-'))
    return std::nullopt;
  const auto day = ConsumeDigits(text, 2);
  if (!day || !ConsumeCharacter(text, 'T'))
    return std::nullopt;
  const auto hour = ConsumeDigits(text, 2);
  if (!hour || !ConsumeCharacter(text, ':'))
    return std::nullopt;
  const auto minute = ConsumeDigits(text, 2);
  if (!minute || !ConsumeCharacter(text, ':'))
    return std::nullopt;
  const auto second = ConsumeDigits(text, 2);
  if (!second || text != "Z")
    return std::nullopt;
  const std::chrono::year_month_day date{
      std::chrono::year(*year),
      std::chrono::month(static_cast<unsigned>(*month)),
      std::chrono::day(static_cast<unsigned>(*day))};
  if (!date.ok() || *hour > 23 || *minute > 59 || *second > 59)
    return std::nullopt;
  return std::chrono::sys_days(date) + std::chrono::hours(*hour) +
         std::chrono::minutes(*minute) + std::chrono::seconds(*second);
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const auto port = ParseWholeNumber(text.substr(colon + 1));
  if (!port || *port > std::numeric_limits<std::uint16_t>::max())
    return false;
  std::string host(text.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> address{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), address.data()) == 1;
}

}  // namespace pollenrudder
