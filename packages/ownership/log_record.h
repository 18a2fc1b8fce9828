// LogRecord: the records that the system appends to the platform's log, and
// their JSON encoding.

#ifndef POLLENRUDDER_OWNERSHIP_LOG_RECORD_H_
#define POLLENRUDDER_OWNERSHIP_LOG_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// A new section of a team. `previous` is the offset of the section it replaces.
struct SectionRecord {
  std::string team;
  LogOffset previous = kNoOffset;
  std::string text;

  bool operator==(const SectionRecord&) const = default;
};

// One entry of a `term` record. `previous` is the term it replaces.
struct TermEntry {
  std::string upstream;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;
  LogOffset previous = kNoOffset;
  TermKind kind = TermKind::kFirst;
  std::string leader;
  std::string leader_zone;
  std::string leader_forward_address;
  std::string leader_peer_address;
  std::vector<Voter> voters;
  std::chrono::nanoseconds isolation_hold{0};
  std::chrono::nanoseconds wait{0};

  bool operator==(const TermEntry&) const = default;
};

struct TermRecord {
  std::vector<TermEntry> entries;

  bool operator==(const TermRecord&) const = default;
};

// The leader of `term` has become active.
struct ActiveRecord {
  std::string upstream;
  LogOffset term = kNoOffset;

  bool operator==(const ActiveRecord&) const = default;
};

// Cancels the `term` record with the id `record`: it is ignored if it appears
// later on the log.
struct AbandonRecord {
  std::string record;

  bool operator==(const AbandonRecord&) const = default;
};

struct PlacedShard {
  std::uint32_t shard = 0;
  std::string upstream;

  bool operator==(const PlacedShard&) const = default;
};

// Assigns owners to shards that have none.
struct PlaceRecord {
  std::string service;
  std::vector<PlacedShard> placements;

  bool operator==(const PlaceRecord&) const = default;
};

// `placed_offset` is the offset of the record that placed the shard last.
struct ShardMove {
  std::uint32_t shard = 0;
  LogOffset placed_offset = kNoOffset;
  std::string target;

  bool operator==(const ShardMove&) const = default;
};

// Moves shards away from `upstream`. A record without moves only carries
// suspects or records whether the upstream is lost.
struct MoveRecord {
  std::string upstream;
  LogOffset term = kNoOffset;
  std::string service;
  std::vector<ShardMove> moves;
  std::vector<std::uint64_t> suspects;
  WallTime suspects_until;
  // Whether the leader observes the upstream as lost. Other leaders do not
  // choose a lost upstream as a target; otherwise two leaders of lost upstreams
  // would keep moving shards back and forth.
  bool lost = false;

  bool operator==(const MoveRecord&) const = default;
};

struct QuarantineRecord {
  std::string service;
  std::uint64_t fingerprint = 0;
  WallTime until;

  bool operator==(const QuarantineRecord&) const = default;
};

// Removes an upstream that is gone and owns no shard.
struct RetireRecord {
  std::string upstream;
  LogOffset term = kNoOffset;

  bool operator==(const RetireRecord&) const = default;
};

// One part of a checkpoint of the table as of the record at `offset`. All parts
// of a checkpoint have the same `checkpoint` id.
struct CheckpointRecord {
  std::string checkpoint;
  LogOffset offset = kNoOffset;
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  std::string table;

  bool operator==(const CheckpointRecord&) const = default;
};

using LogRecordBody = std::variant<SectionRecord,
                                   TermRecord,
                                   ActiveRecord,
                                   AbandonRecord,
                                   PlaceRecord,
                                   MoveRecord,
                                   QuarantineRecord,
                                   RetireRecord,
                                   CheckpointRecord>;

// `id` is unique. A record that is appended again keeps its id.
struct LogRecord {
  // The only format that this version reads and writes.
  static constexpr std::int64_t kFormat = 1;

  std::string id;
  // The instance that wrote the record. For a section, the tool of the
  // operator.
  std::string by;
  LogRecordBody body;

  bool operator==(const LogRecord&) const = default;
};

std::string EncodeLogRecord(const LogRecord& record);

// Fails with kUnsupportedRecord if the format or the type is unknown, because a
// newer version may have written the record, and with kPeerProtocol if the
// record is malformed.
Result<LogRecord> DecodeLogRecord(std::string_view data);

// Returns the name of `kind` in the JSON encoding.
std::string_view TermKindName(TermKind kind);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LOG_RECORD_H_
