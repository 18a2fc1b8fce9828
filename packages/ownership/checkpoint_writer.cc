// When and what to checkpoint.

#include "ownership/checkpoint_writer.h"

#include <utility>

#include "ownership/ownership_events.h"

namespace pollenrudder {

CheckpointWriter::CheckpointWriter(ControlContext& context)
    : context_(context) {}

void CheckpointWriter::OnCheckpointRead(LogOffset offset,
                                        const CheckpointRecord& part) {
  if (part.checkpoint != reading_) {
    reading_ = part.checkpoint;
    parts_read_.clear();
  }
  parts_read_.insert(part.part);
  if (parts_read_.size() < part.parts || part.offset < covered_)
    return;
  covered_ = part.offset;
  written_at_ = offset;
  last_ = context_.now.boot;
}

void CheckpointWriter::OnTick(LogOffset first_retained) {
  std::erase_if(pending_, [this](const std::string& id) {
    return !context_.appender.pending(id);
  });
  if (!pending_.empty() || !IsDue(first_retained) ||
      !context_.ReadyToAppend()) {
    return;
  }
  const LogOffset offset = context_.table().applied();
  const std::string checkpoint = context_.self() + "@" + std::to_string(offset);
  std::vector<std::string> parts = context_.replay.Snapshot();
  for (std::uint32_t part = 0; part < parts.size(); ++part) {
    pending_.push_back(context_.Append(CheckpointRecord{
        checkpoint, offset, part, static_cast<std::uint32_t>(parts.size()),
        std::move(parts[part])}));
  }
  context_.AddLogEvent(kCheckpointWritten,
                       {{"offset", offset}, {"parts", parts.size()}});
}

bool CheckpointWriter::IsDue(LogOffset first_retained) const {
  const LogOffset applied = context_.table().applied();
  const std::uint64_t records = applied - covered_;
  if (records >= kMaxRecords)
    return true;
  if (records < kMinRecords)
    return false;
  // Half of the retained records are older than the checkpoint: the next one
  // must be complete before the log drops this one.
  const bool expiring =
      first_retained > 1 &&
      written_at_ < first_retained + (applied - first_retained) / 2;
  return expiring || context_.now.boot >= last_ + context_.options.checkpoint;
}

}  // namespace pollenrudder
