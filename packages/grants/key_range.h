// A range of keys.

#ifndef POLLENRUDDER_GRANTS_KEY_RANGE_H_
#define POLLENRUDDER_GRANTS_KEY_RANGE_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pollenrudder {

// The number of a key. A service whose upstreams own keys has kKeyCount keys.
using KeyNumber = std::uint16_t;
inline constexpr std::uint32_t kKeyCount = 65536;

// The keys from `first` to `last`, inclusive. Invariant: first <= last.
struct KeyRange {
  KeyNumber first = 0;
  KeyNumber last = kKeyCount - 1;

  bool Contains(KeyNumber key) const { return first <= key && key <= last; }
  bool Overlaps(const KeyRange& other) const {
    return first <= other.last && other.first <= last;
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(last) - first + 1;
  }

  auto operator<=>(const KeyRange&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_RANGE_H_
