// Offsets of records on the log.

#ifndef POLLENRUDDER_BASE_LOG_OFFSET_H_
#define POLLENRUDDER_BASE_LOG_OFFSET_H_

#include <cstdint>

namespace pollenrudder {

// The position of a record on the log. The first record has offset 1.
using LogOffset = std::uint64_t;

// Stands for "no record yet".
inline constexpr LogOffset kNoOffset = 0;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_LOG_OFFSET_H_
