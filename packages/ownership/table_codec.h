// The parts of a checkpoint.

#ifndef POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_
#define POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/result.h"
#include "ownership/table_state.h"

namespace pollenrudder {

// Size of one part in bytes, at most. The limit of a log record on the platform
// is not known; 48 KiB stays below 64 KiB after JSON escapes the quotes.
inline constexpr std::size_t kCheckpointPartBytes = std::size_t{48} * 1024;

// Returns the state as JSON text that is cut into parts. No part ends inside a
// character, so that each part is valid UTF-8.
std::vector<std::string> EncodeTable(
    const TableState& state,
    std::size_t part_bytes = kCheckpointPartBytes);

// Parses all parts, in order. Fails with kUnsupportedRecord for a state of
// another format and with kPeerProtocol for any other fault.
Result<TableState> DecodeTable(const std::vector<std::string>& parts);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_
