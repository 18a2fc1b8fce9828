// OwnershipTable: the leader of each upstream and the owner of each shard,
// replayed from the log.

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

// The result of applying one record.
struct AppliedRecord {
  enum class Effect {
    // At least one entry of the record took effect.
    kApplied,
    // A precondition failed.
    kIgnored,
    // The data is not a record of this system.
    kMalformed,
    // A newer version wrote the record.
    kUnsupported,
  };

  LogOffset offset = kNoOffset;
  Effect effect = Effect::kIgnored;
  // Empty for kMalformed and kUnsupported.
  std::optional<LogRecord> record;
  // Why the record, or its last ignored entry, was ignored.
  std::string reason;
};

// Applies records in log order. Replay is a pure function: tables that applied
// the same records are equal on all instances. A record whose precondition
// fails changes nothing, so a record may be appended again with the same id
// until one copy of it is read.
//
// Related classes: LogReplay passes in the records of log reads, term_rules.h
// has the rules for terms, table_codec.h encodes checkpoints.
class OwnershipTable {
 public:
  // How many ids of abandoned records are kept. An abandoned record is in
  // transit for seconds at most, and 4,096 claims correspond to days of
  // failures.
  static constexpr std::size_t kMaxAbandoned = 4096;
  // How many marks of each kind are kept. A mark results from the loss of an
  // upstream, so more of them within their lifetime of 10 minutes indicate
  // another fault.
  static constexpr std::size_t kMaxMarks = 1024;

  explicit OwnershipTable(const LeaseDurations& durations);

  // Builds a table from the state of a checkpoint. Fails with
  // kUnsupportedRecord if a section is no longer valid.
  static Result<OwnershipTable> FromState(TableState state,
                                          const LeaseDurations& durations);

  // Applies the record at `offset`, which must be above applied().
  AppliedRecord Apply(LogOffset offset, std::string_view data);

  // The offset of the newest applied record.
  LogOffset applied() const { return state_.offset; }
  const TableState& state() const { return state_; }
  const Document& document() const { return document_; }

  // Returns the current term of the upstream, or null.
  const TermState* FindTerm(std::string_view upstream) const;
  // Returns the shards of a service, or null if none has been placed yet.
  const std::vector<ShardState>* FindShards(std::string_view service) const;
  // Returns the shards that the upstream owns, in ascending order.
  std::vector<std::uint32_t> ShardsOf(std::string_view upstream) const;

 private:
  // Each overload returns why the record, or its last ignored entry, was
  // ignored, and sets `applied` if any entry took effect.
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
