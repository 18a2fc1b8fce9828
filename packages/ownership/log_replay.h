// LogReplay: turns answers of the log into an OwnershipTable.

#ifndef POLLENRUDDER_OWNERSHIP_LOG_REPLAY_H_
#define POLLENRUDDER_OWNERSHIP_LOG_REPLAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/error.h"
#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/controller_input.h"
#include "ownership/lease_durations.h"
#include "ownership/ownership_table.h"

namespace pollenrudder {

// Accepts answers of the log that overlap or come late, from the log or from a
// relay, and applies each record once and in order. A reader that has missed
// records beyond the retention of the log starts again from the first complete
// checkpoint that it reads. It never takes a state older than what it has
// applied.
//
// Related classes: OwnershipTable applies the records, CheckpointWriter writes
// the checkpoints.
class LogReplay {
 public:
  struct Outcome {
    // The records that were applied, in order.
    std::vector<AppliedRecord> records;
    // The table was replaced by a checkpoint; `records` follow it.
    bool loaded_checkpoint = false;
    // The table includes every record that was on the log at the read's proof
    // time.
    bool proved = false;
    // The answer left records out: read again from next_offset().
    bool read_again = false;
    // kLogRegressed when the log was first seen to end below the records that
    // are applied.
    std::optional<Error> error;
  };

  explicit LogReplay(const LeaseDurations& durations);

  Outcome OnLogRead(const LogRecordsRead& read, BootTime now);

  // The parts of a checkpoint of the table.
  std::vector<std::string> Snapshot() const;

  // Replaces the table by a peer's snapshot. Fails with kLogRegressed if it is
  // older than what is applied.
  Result<void> LoadSnapshot(const std::vector<std::string>& parts);

  const OwnershipTable& table() const { return table_; }
  // The next offset to read.
  LogOffset next_offset() const;
  // Whether records beyond the table are missing.
  bool seeking_checkpoint() const { return seeking_; }
  // The log has regressed or holds records of a newer version: this instance
  // goes on serving, but writes no record.
  bool changes_stopped() const { return regressed_ || unsupported_ > 0; }
  bool regressed() const { return regressed_; }
  std::uint64_t malformed_records() const { return malformed_; }
  std::uint64_t unsupported_records() const { return unsupported_; }

 private:
  struct PartialCheckpoint {
    LogOffset offset = kNoOffset;
    std::vector<std::optional<std::string>> parts;
  };

  void ApplyOne(const RawLogRecord& raw, Outcome& outcome);
  // Keeps a record until a checkpoint that precedes it is complete.
  void SeekOne(const RawLogRecord& raw, Outcome& outcome);
  bool TryCheckpoint(const CheckpointRecord& part);
  void ApplyMissed(Outcome& outcome);

  LeaseDurations durations_;
  OwnershipTable table_;
  // When the newest record was applied. A read that started later must include
  // it. The maximum means: before the next read is processed.
  BootTime applied_at_ = BootTime::min();
  bool regressed_ = false;
  std::uint64_t malformed_ = 0;
  std::uint64_t unsupported_ = 0;

  bool seeking_ = false;
  // While seeking: the records read since, without a gap, and the parts of
  // checkpoints among them.
  std::vector<RawLogRecord> missed_;
  LogOffset missed_from_ = kNoOffset;
  std::map<std::string, PartialCheckpoint> partial_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LOG_REPLAY_H_
