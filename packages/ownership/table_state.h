// The plain data of OwnershipTable.

#ifndef POLLENRUDDER_OWNERSHIP_TABLE_STATE_H_
#define POLLENRUDDER_OWNERSHIP_TABLE_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// The owner of a shard and the offset of the record that placed it.
struct ShardState {
  std::string upstream;
  LogOffset placed_offset = kNoOffset;

  bool has_owner() const { return placed_offset != kNoOffset; }

  bool operator==(const ShardState&) const = default;
};

// The section of a team that is in force.
struct SectionVersion {
  LogOffset offset = kNoOffset;
  std::string text;

  bool operator==(const SectionVersion&) const = default;
};

// A fingerprint and the end of its mark.
struct FingerprintMark {
  std::string service;
  std::uint64_t fingerprint = 0;
  WallTime until;

  bool operator==(const FingerprintMark&) const = default;
};

// Everything that replay derives from the log, apart from the parsed document.
// It is what a checkpoint holds.
struct TableState {
  // The newest record that is included.
  LogOffset offset = kNoOffset;
  // By team.
  std::map<std::string, SectionVersion> sections;
  // By upstream.
  std::map<std::string, TermState> terms;
  // By service. A service has as many entries as the document had shards when
  // its first shard was placed.
  std::map<std::string, std::vector<ShardState>, std::less<>> shards;
  // Ids of abandoned records, oldest first.
  std::vector<std::string> abandoned;
  std::vector<FingerprintMark> suspects;
  std::vector<FingerprintMark> quarantined;

  bool operator==(const TableState&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TABLE_STATE_H_
