// Durations in log fields.

#ifndef POLLENRUDDER_ENTRY_DURATION_TEXT_H_
#define POLLENRUDDER_ENTRY_DURATION_TEXT_H_

#include <chrono>
#include <string>

namespace pollenrudder {

// Returns `time` in milliseconds, with fractions.
inline std::string Milliseconds(std::chrono::nanoseconds time) {
  using Fraction = std::chrono::duration<double, std::milli>;
  return std::to_string(Fraction(time).count());
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_DURATION_TEXT_H_
