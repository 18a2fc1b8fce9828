// Decides when a checkpoint is due and appends its parts.

#include "ownership/checkpoint_writer.h"

#include <utility>

#include "ownership/ownership_events.h"

namespace pollenrudder {

CheckpointWriter::CheckpointWriter(ControlContext& context)
    : context_(context) {}

void CheckpointWriter::OnCheckpointRead(LogOffset offset,
                                        const CheckpointRecord& part) {
  if (part.checkpoint != reading_checkpoint_) {
    reading_checkpoint_ = part.checkpoint;
    parts_read_.clear();
  }
  parts_read_.insert(part.part);
  if (parts_read_.size() < part.parts || part.offset < checkpoint_offset_)
    return;
  checkpoint_offset_ = part.offset;
  last_part_offset_ = offset;
  completed_at_ = context_.now.boot;
}

void CheckpointWriter::OnTick(LogOffset first_retained) {
  std::erase_if(unread_part_ids_, [this](const std::string& id) {
    return !context_.appender.pending(id);
  });
  if (!unread_part_ids_.empty() || !IsDue(first_retained) ||
      !context_.ReadyToAppend()) {
    return;
  }
  const LogOffset offset = context_.table().applied();
  const std::string checkpoint = context_.self() + "@" + std::to_string(offset);
  std::vector<std::string> parts = context_.replay.Snapshot();
  for (std::uint32_t part = 0; part < parts.size(); ++part) {
    unread_part_ids_.push_back(context_.Append(CheckpointRecord{
        checkpoint, offset, part, static_cast<std::uint32_t>(parts.size()),
        std::move(parts[part])}));
  }
  context_.AddLogEvent(kCheckpointWritten,
                       {{"offset", offset}, {"parts", parts.size()}});
}

bool CheckpointWriter::IsDue(LogOffset first_retained) const {
  const LogOffset applied = context_.table().applied();
  const std::uint64_t records = applied - checkpoint_offset_;
  if (records >= kMaxRecords)
    return true;
  if (records < kMinRecords)
    return false;
  // Once half of the retained records are newer than the last checkpoint, write
  // the next one, so that it is complete before the log drops the last one.
  const bool expiring =
      first_retained > 1 &&
      last_part_offset_ < first_retained + (applied - first_retained) / 2;
  return expiring || context_.now.boot >=
                         completed_at_ + context_.options.checkpoint_interval;
}

}  // namespace pollenrudder
