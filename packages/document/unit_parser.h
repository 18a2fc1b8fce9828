// Parsers of numbers, values with units, times and addresses in the document
// and the settings file. Each returns nothing if `text` is invalid.

#ifndef POLLENRUDDER_DOCUMENT_UNIT_PARSER_H_
#define POLLENRUDDER_DOCUMENT_UNIT_PARSER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/boot_clock.h"

namespace pollenrudder {

// Parses a whole number, such as "1024".
std::optional<std::uint64_t> ParseWholeNumber(std::string_view text);

// Parses a duration with one of the units ms, s, m, h, such as "500ms".
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

// Parses a size with one of the units B, KiB, MiB, such as "64KiB".
std::optional<std::uint64_t> ParseByteSize(std::string_view text);

// Parses a whole percentage, such as "15%".
std::optional<std::uint64_t> ParsePercentage(std::string_view text);

// Parses a UTC time of the form "2026-12-05T02:00:00Z".
std::optional<WallTime> ParseUtcTime(std::string_view text);

// Returns whether `text` is an IPv4 address and a port, such as
// "127.0.0.1:8080", or an IPv6 address in brackets and a port.
bool IsAddress(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_UNIT_PARSER_H_
