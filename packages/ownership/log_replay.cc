// Order, gaps and checkpoints of log reads.

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
  // A relay may be behind this reader, but a read that started after the newest
  // record was applied must include it.
  if (read.reached_end && read.next < next_offset() &&
      read.proof_time > applied_at_) {
    regressed_ = true;
    outcome.error = MakeError(
        ErrorKind::kLogRegressed,
        "the log ends at offset " + std::to_string(read.next - 1) +
            ", below the applied offset " + std::to_string(next_offset() - 1));
    return outcome;
  }
  if (!seeking_ && read.first_retained > next_offset()) {
    seeking_ = true;
    missed_.clear();
    partial_.clear();
    missed_from_ = read.first_retained;
  }
  for (const RawLogRecord& raw : read.records) {
    if (raw.offset < next_offset())
      continue;
    if (raw.offset > next_offset())
      break;
    applied_at_ = now;
    if (seeking_)
      SeekOne(raw, outcome);
    else
      ApplyOne(raw, outcome);
  }
  const bool complete = next_offset() >= read.next;
  outcome.read_again = !complete || !read.reached_end;
  outcome.proved = complete && read.reached_end && !seeking_;
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
  seeking_ = false;
  missed_.clear();
  partial_.clear();
  return boost::outcome_v2::success();
}

LogOffset LogReplay::next_offset() const {
  if (!seeking_)
    return table_.applied() + 1;
  return missed_.empty() ? missed_from_ : missed_.back().offset + 1;
}

void LogReplay::ApplyOne(const RawLogRecord& raw, Outcome& outcome) {
  AppliedRecord applied = table_.Apply(raw.offset, raw.data);
  if (applied.effect == AppliedRecord::Effect::kMalformed)
    ++malformed_;
  if (applied.effect == AppliedRecord::Effect::kUnsupported)
    ++unsupported_;
  outcome.records.push_back(std::move(applied));
}

void LogReplay::SeekOne(const RawLogRecord& raw, Outcome& outcome) {
  missed_.push_back(raw);
  const Result<LogRecord> record = DecodeLogRecord(raw.data);
  if (!record)
    return;
  const auto* part = std::get_if<CheckpointRecord>(&record.value().body);
  if (part && TryCheckpoint(*part)) {
    outcome.loaded_checkpoint = true;
    ApplyMissed(outcome);
  }
}

bool LogReplay::TryCheckpoint(const CheckpointRecord& part) {
  // Records between the checkpoint and the first one retained are lost.
  if (part.offset + 1 < missed_from_ || part.offset < table_.applied())
    return false;
  PartialCheckpoint& partial = partial_[part.checkpoint];
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

void LogReplay::ApplyMissed(Outcome& outcome) {
  seeking_ = false;
  partial_.clear();
  const std::vector<RawLogRecord> missed = std::exchange(missed_, {});
  for (const RawLogRecord& raw : missed) {
    if (raw.offset > table_.applied())
      ApplyOne(raw, outcome);
  }
}

}  // namespace pollenrudder
