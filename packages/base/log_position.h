// Positions in a log that may be replaced by an earlier copy of itself.

#ifndef POLLENRUDDER_BASE_LOG_POSITION_H_
#define POLLENRUDDER_BASE_LOG_POSITION_H_

#include <cstdint>

namespace pollenrudder {

// When a log is replaced by an earlier copy, its last records are lost and
// their offsets are given out again. Each replacement starts a new epoch. A
// position contains the epoch in its upper bits, so that it is greater than
// all positions of earlier epochs, and names one record for good. In the first
// epoch, 0, positions and offsets are equal.
inline constexpr int kLogEpochShift = 40;

constexpr std::uint64_t MakeLogPosition(std::uint64_t epoch,
                                        std::uint64_t offset) {
  return (epoch << kLogEpochShift) + offset;
}

constexpr std::uint64_t LogEpochOf(std::uint64_t position) {
  return position >> kLogEpochShift;
}

constexpr std::uint64_t LogOffsetOf(std::uint64_t position) {
  return position - (LogEpochOf(position) << kLogEpochShift);
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_LOG_POSITION_H_
