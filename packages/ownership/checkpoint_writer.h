// CheckpointWriter: writes the table to the log before its records expire.

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

// Runs at one instance at a time: the active leader of the first upstream by
// name. A second writer costs only space, since readers take the first complete
// checkpoint. Written are all parts of the table, from its offset at that time.
class CheckpointWriter {
 public:
  // After so many records a checkpoint is written before the interval is over,
  // which bounds what a starting reader has to replay.
  static constexpr std::uint64_t kMaxRecords = 5000;
  // Below this number of records the interval alone does not start one.
  static constexpr std::uint64_t kMinRecords = 20;

  explicit CheckpointWriter(ControlContext& context);

  // A checkpoint part of any writer was read at `offset`.
  void OnCheckpointRead(LogOffset offset, const CheckpointRecord& part);
  // `first_retained` is the oldest offset that the log still has.
  void OnTick(LogOffset first_retained);

  // The newest complete checkpoint that was read: the offset of the table in
  // it, or kNoOffset.
  LogOffset checkpoint_offset() const { return covered_; }

 private:
  bool IsDue(LogOffset first_retained) const;

  ControlContext& context_;
  // Ids of the parts that are not read yet.
  std::vector<std::string> pending_;
  // Parts read of the checkpoint that is being read.
  std::string reading_;
  std::set<std::uint32_t> parts_read_;
  LogOffset covered_ = kNoOffset;
  // Where its last part is on the log.
  LogOffset written_at_ = kNoOffset;
  BootTime last_ = BootTime::min();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CHECKPOINT_WRITER_H_
