// LogReplay: applies the results of log reads to an OwnershipTable.

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

// Accepts results that overlap or arrive out of order, from the log store or
// from a relay, and applies each record once, in log order. If records expired
// before they were read, it restarts from the first complete checkpoint that it
// reads. It never replaces the table by an older one.
//
// Related classes: OwnershipTable applies the records, CheckpointWriter writes
// the checkpoints.
class LogReplay {
 public:
  struct Outcome {
    // The applied records, in log order.
    std::vector<AppliedRecord> records;
    // The table was replaced by a checkpoint. `records` were applied after it.
    bool loaded_checkpoint = false;
    // The table includes every record that was on the log at the proof time of
    // the read.
    bool proved = false;
    // The result was incomplete: read again from next_offset().
    bool read_again = false;
    // kLogRegressed when a read first shows that the log ends below the applied
    // records.
    std::optional<Error> error;
  };

  explicit LogReplay(const LeaseDurations& durations);

  Outcome OnLogRead(const LogRecordsRead& read, BootTime now);

  // Returns the parts of a checkpoint of the table.
  std::vector<std::string> Snapshot() const;

  // Replaces the table by the snapshot of another instance. Fails with
  // kLogRegressed if the snapshot is older than the applied records.
  Result<void> LoadSnapshot(const std::vector<std::string>& parts);

  const OwnershipTable& table() const { return table_; }
  // The next log offset to read.
  LogOffset next_offset() const;
  // Whether the next records expired before they were read, so that a
  // checkpoint is needed.
  bool seeking_checkpoint() const { return seeking_checkpoint_; }
  // Whether the log has regressed or holds records of a newer version. This
  // instance then continues to serve, but appends no records.
  bool changes_stopped() const {
    return regressed_ || unsupported_records_ > 0;
  }
  bool regressed() const { return regressed_; }
  std::uint64_t malformed_records() const { return malformed_records_; }
  std::uint64_t unsupported_records() const { return unsupported_records_; }

 private:
  struct PartialCheckpoint {
    LogOffset offset = kNoOffset;
    std::vector<std::optional<std::string>> parts;
  };

  void ApplyRecord(const RawLogRecord& raw, Outcome& outcome);
  // Buffers a record until a checkpoint before it is complete.
  void BufferRecord(const RawLogRecord& raw, Outcome& outcome);
  bool TryLoadCheckpoint(const CheckpointRecord& part);
  void ApplyBuffered(Outcome& outcome);

  LeaseDurations durations_;
  OwnershipTable table_;
  // When the newest record was applied. A read that started later must include
  // that record. BootTime::max() stands for the time at which the next read is
  // processed.
  BootTime applied_at_ = BootTime::min();
  bool regressed_ = false;
  std::uint64_t malformed_records_ = 0;
  std::uint64_t unsupported_records_ = 0;

  bool seeking_checkpoint_ = false;
  // While seeking a checkpoint: the records read so far, without gaps, and the
  // parts of the checkpoints among them.
  std::vector<RawLogRecord> buffered_;
  LogOffset buffered_from_ = kNoOffset;
  std::map<std::string, PartialCheckpoint> partial_checkpoints_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LOG_REPLAY_H_
