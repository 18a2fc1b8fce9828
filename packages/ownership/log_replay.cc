// Applies log reads in order, detects regressions and loads checkpoints.

#include "ownership/log_replay.h"

#include <algorithm>
#include <utility>

#include "ownership/table_codec.h"

namespace pollenrudder {

LogReplay::LogReplay(const LeaseDurations& durations)
    : durations_(durations), table_(durations) {}

LogReplay::Outcome LogReplay::OnLogRead(const LogRecordsRead& read,
                                        BootTime now) {
  Outcome outcome;
  if (regressed_)
    return outcome;
  if (applied_at_ == BootTime::max())
    applied_at_ = now;
  // A relay may be behind this instance, but a read that started after the
  // newest record was applied must include that record.
  if (read.reached_end && read.next < next_offset() &&
      read.proof_time > applied_at_) {
    regressed_ = true;
    outcome.error = MakeError(
        ErrorKind::kLogRegressed,
        "the log ends at offset " + std::to_string(read.next - 1) +
            ", below the applied offset " + std::to_string(next_offset() - 1));
    return outcome;
  }
  if (!seeking_checkpoint_ && read.first_retained > next_offset()) {
    seeking_checkpoint_ = true;
    buffered_.clear();
    partial_checkpoints_.clear();
    buffered_from_ = read.first_retained;
  }
  for (const RawLogRecord& raw : read.records) {
    if (raw.offset < next_offset())
      continue;
    if (raw.offset > next_offset())
      break;
    applied_at_ = now;
    if (seeking_checkpoint_)
      BufferRecord(raw, outcome);
    else
      ApplyRecord(raw, outcome);
  }
  const bool complete = next_offset() >= read.next;
  outcome.read_again = !complete || !read.reached_end;
  outcome.proved = complete && read.reached_end && !seeking_checkpoint_;
  return outcome;
}

std::vector<std::string> LogReplay::Snapshot() const {
  return EncodeTable(table_.state());
}

Result<void> LogReplay::LoadSnapshot(const std::vector<std::string>& parts) {
  BOOST_OUTCOME_TRY(TableState state, DecodeTable(parts));
  if (state.offset < table_.applied()) {
    return MakeError(ErrorKind::kLogRegressed,
                     "the snapshot is older than the applied offset");
  }
  BOOST_OUTCOME_TRY(OwnershipTable table,
                    OwnershipTable::FromState(std::move(state), durations_));
  table_ = std::move(table);
  applied_at_ = BootTime::max();
  seeking_checkpoint_ = false;
  buffered_.clear();
  partial_checkpoints_.clear();
  return boost::outcome_v2::success();
}

LogOffset LogReplay::next_offset() const {
  if (!seeking_checkpoint_)
    return table_.applied() + 1;
  return buffered_.empty() ? buffered_from_ : buffered_.back().offset + 1;
}

void LogReplay::ApplyRecord(const RawLogRecord& raw, Outcome& outcome) {
  AppliedRecord applied = table_.Apply(raw.offset, raw.data);
  if (applied.effect == AppliedRecord::Effect::kMalformed)
    ++malformed_records_;
  if (applied.effect == AppliedRecord::Effect::kUnsupported)
    ++unsupported_records_;
  outcome.records.push_back(std::move(applied));
}

void LogReplay::BufferRecord(const RawLogRecord& raw, Outcome& outcome) {
  buffered_.push_back(raw);
  const Result<LogRecord> record = DecodeLogRecord(raw.data);
  if (!record)
    return;
  const auto* part = std::get_if<CheckpointRecord>(&record.value().body);
  if (part && TryLoadCheckpoint(*part)) {
    outcome.loaded_checkpoint = true;
    ApplyBuffered(outcome);
  }
}

bool LogReplay::TryLoadCheckpoint(const CheckpointRecord& part) {
  // The records between the checkpoint and the oldest retained one are missing.
  if (part.offset + 1 < buffered_from_ || part.offset < table_.applied())
    return false;
  PartialCheckpoint& partial = partial_checkpoints_[part.checkpoint];
  partial.offset = part.offset;
  partial.parts.resize(part.parts);
  if (part.part >= partial.parts.size())
    return false;
  partial.parts[part.part] = part.table;
  std::vector<std::string> texts;
  for (const std::optional<std::string>& text : partial.parts) {
    if (!text)
      return false;
    texts.push_back(*text);
  }
  Result<TableState> state = DecodeTable(texts);
  if (!state || state.value().offset != part.offset)
    return false;
  Result<OwnershipTable> table =
      OwnershipTable::FromState(std::move(state).value(), durations_);
  if (!table)
    return false;
  table_ = std::move(table).value();
  return true;
}

void LogReplay::ApplyBuffered(Outcome& outcome) {
  seeking_checkpoint_ = false;
  partial_checkpoints_.clear();
  const std::vector<RawLogRecord> buffered = std::exchange(buffered_, {});
  for (const RawLogRecord& raw : buffered) {
    if (raw.offset > table_.applied())
      ApplyRecord(raw, outcome);
  }
}

}  // namespace pollenrudder
