// CheckpointWriter: appends checkpoints of the ownership table to the log, so
// that an instance can start after older records have expired.

#ifndef POLLENRUDDER_OWNERSHIP_CHECKPOINT_WRITER_H_
#define POLLENRUDDER_OWNERSHIP_CHECKPOINT_WRITER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/control_context.h"

namespace pollenrudder {

// Runs on one instance at a time: the active leader of the first upstream by
// name. If two instances write at the same time, the only cost is space,
// because readers load the first complete checkpoint. A checkpoint consists of
// all parts of the table as of the offset applied when it is written.
class CheckpointWriter {
 public:
  // A checkpoint is written after this many records even if the interval has
  // not passed. This bounds the number of records that a starting instance
  // replays.
  static constexpr std::uint64_t kMaxRecords = 5000;
  // Below this number of records no checkpoint is written, even if the interval
  // has passed.
  static constexpr std::uint64_t kMinRecords = 20;

  explicit CheckpointWriter(ControlContext& context);

  // Handles a checkpoint part, of any writer, that was read at `offset`.
  void OnCheckpointRead(LogOffset offset, const CheckpointRecord& part);
  // `first_retained` is the oldest offset that the log still retains.
  void OnTick(LogOffset first_retained);

  // Returns the table offset of the newest complete checkpoint that was read,
  // or kNoOffset.
  LogOffset checkpoint_offset() const { return checkpoint_offset_; }

 private:
  bool IsDue(LogOffset first_retained) const;

  ControlContext& context_;
  // Ids of the appended parts that have not been read back.
  std::vector<std::string> unread_part_ids_;
  // The checkpoint whose parts are being read, and the parts read so far.
  std::string reading_checkpoint_;
  std::set<std::uint32_t> parts_read_;
  LogOffset checkpoint_offset_ = kNoOffset;
  // The log offset of the last part of the newest complete checkpoint.
  LogOffset last_part_offset_ = kNoOffset;
  BootTime completed_at_ = BootTime::min();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CHECKPOINT_WRITER_H_
