// Encodes the ownership table as the parts of a checkpoint and decodes it.

#ifndef POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_
#define POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/result.h"
#include "ownership/table_state.h"

namespace pollenrudder {

// The maximum size of one part. The record size limit of the platform's log is
// not known; 48 KiB stays below 64 KiB after JSON escapes the quotes.
inline constexpr std::size_t kCheckpointPartBytes = std::size_t{48} * 1024;

// Returns the state as JSON text, split into parts. Parts are split between
// characters, so each part is valid UTF-8.
std::vector<std::string> EncodeTable(
    const TableState& state,
    std::size_t part_bytes = kCheckpointPartBytes);

// Decodes all parts, in order. Fails with kUnsupportedRecord if the format is
// unknown, and with kPeerProtocol for any other error.
Result<TableState> DecodeTable(const std::vector<std::string>& parts);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TABLE_CODEC_H_
