// TableState: the data of OwnershipTable that a checkpoint stores.

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

// The owner of a shard, and the offset of the record that placed it.
struct ShardState {
  std::string upstream;
  LogOffset placed_offset = kNoOffset;

  bool has_owner() const { return placed_offset != kNoOffset; }

  bool operator==(const ShardState&) const = default;
};

// The current section of a team, and the offset of its record.
struct SectionVersion {
  LogOffset offset = kNoOffset;
  std::string text;

  bool operator==(const SectionVersion&) const = default;
};

// A marked fingerprint and the time when the mark expires.
struct FingerprintMark {
  std::string service;
  std::uint64_t fingerprint = 0;
  WallTime until;

  bool operator==(const FingerprintMark&) const = default;
};

// Everything that replay derives from the log, except for the parsed document.
struct TableState {
  // The offset of the newest applied record.
  LogOffset offset = kNoOffset;
  // By team.
  std::map<std::string, SectionVersion> sections;
  // By upstream.
  std::map<std::string, TermState> terms;
  // By service. The number of entries is the shard count of the service when
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
