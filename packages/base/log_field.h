// A name=value pair of a log line.

#ifndef POLLENRUDDER_BASE_LOG_FIELD_H_
#define POLLENRUDDER_BASE_LOG_FIELD_H_

#include <concepts>
#include <string>
#include <string_view>

namespace pollenrudder {

// Constructed from a name and a string or an integer. Values with spaces,
// quotes or control characters are quoted when the line is formatted.
struct LogField {
  std::string name;
  std::string value;

  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, std::integral auto field_value)
      : name(field_name), value(std::to_string(field_value)) {}

  bool operator==(const LogField&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_LOG_FIELD_H_
