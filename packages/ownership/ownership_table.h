// OwnershipTable: who leads each upstream and owns each shard, replayed from
// the log.

#ifndef POLLENRUDDER_OWNERSHIP_OWNERSHIP_TABLE_H_
#define POLLENRUDDER_OWNERSHIP_OWNERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_offset.h"
#include "base/result.h"
#include "document/document.h"
#include "ownership/lease_durations.h"
#include "ownership/log_record.h"
#include "ownership/table_state.h"

namespace pollenrudder {

// What the replay of one record did.
struct AppliedRecord {
  enum class Effect {
    // At least one entry of the record took effect.
    kApplied,
    // A precondition failed.
    kIgnored,
    // Not a record of this system.
    kMalformed,
    // Written by a newer version.
    kUnsupported,
  };

  LogOffset offset = kNoOffset;
  Effect effect = Effect::kIgnored;
  // Empty for kMalformed and kUnsupported.
  std::optional<LogRecord> record;
  // Why the record, or its last ignored entry, was ignored.
  std::string reason;
};

// Applies records in the order of the log. Replay is a pure function: tables
// that applied the same records are equal, whoever applied them. A record whose
// precondition fails changes nothing, so a record may be sent again with the
// same id until one copy of it is read.
//
// Related classes: LogReplay feeds it from log reads, term_rules.h has the
// conditions of terms, table_codec.h writes checkpoints of it.
class OwnershipTable {
 public:
  // Ids of abandoned records that are kept. An abandoned record is in transit
  // for seconds at most, and 4,096 claims are the failures of days.
  static constexpr std::size_t kMaxAbandoned = 4096;
  // Marks that are kept of each kind. Each costs an upstream, so that more
  // within their lifetime of 10 minutes means that something else is wrong.
  static constexpr std::size_t kMaxMarks = 1024;

  explicit OwnershipTable(const LeaseDurations& durations);

  // Builds a table from a checkpoint's state. Fails with kUnsupportedRecord if
  // a section no longer passes the check.
  static Result<OwnershipTable> FromState(TableState state,
                                          const LeaseDurations& durations);

  // Applies the record at `offset`, which is above applied().
  AppliedRecord Apply(LogOffset offset, std::string_view data);

  // The newest offset applied.
  LogOffset applied() const { return state_.offset; }
  const TableState& state() const { return state_; }
  const Document& document() const { return document_; }

  // Returns the current term of the upstream, or null.
  const TermState* FindTerm(std::string_view upstream) const;
  // Returns the shards of a service, or null if none was placed yet.
  const std::vector<ShardState>* FindShards(std::string_view service) const;
  // Returns the shards that the upstream owns, in order.
  std::vector<std::uint32_t> ShardsOf(std::string_view upstream) const;

 private:
  // Each returns why the record, or its last ignored entry, was ignored, and
  // sets `applied` if any entry took effect.
  std::string ApplyBody(const LogRecord& record,
                        const SectionRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const TermRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const ActiveRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const AbandonRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const PlaceRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const MoveRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const QuarantineRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const RetireRecord& body,
                        LogOffset offset,
                        bool& applied);
  std::string ApplyBody(const LogRecord& record,
                        const CheckpointRecord& body,
                        LogOffset offset,
                        bool& applied);

  bool IsAbandoned(const std::string& id) const;
  // Whether `upstream` has a term and belongs to `service`.
  bool CanOwnShards(const std::string& upstream,
                    const std::string& service) const;
  std::string CheckShardCounts(const Section& section) const;

  LeaseDurations durations_;
  TableState state_;
  // Invariant: parsed from state_.sections.
  Document document_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_OWNERSHIP_TABLE_H_
