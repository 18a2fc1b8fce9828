// Appends records, appends unconfirmed ones again and resolves records that are
// read back.

#include "ownership/record_appender.h"

#include <utility>

namespace pollenrudder {

RecordAppender::RecordAppender(std::string instance)
    : instance_(std::move(instance)) {}

std::string RecordAppender::Append(LogRecordBody body,
                                   BootTime now,
                                   std::vector<ControllerAction>& actions) {
  LogRecord record;
  record.id = instance_ + "/" + std::to_string(next_number_++);
  record.by = instance_;
  record.body = std::move(body);
  std::string data = EncodeLogRecord(record);
  actions.emplace_back(AppendRecord{record.id, data});
  records_[record.id] = Pending{std::move(data), now, std::nullopt, false};
  return record.id;
}

void RecordAppender::OnAppendFinished(const AppendFinished& finished,
                                      BootTime now) {
  const auto found = records_.find(finished.record_id);
  if (found == records_.end())
    return;
  found->second.answered_at = now;
  found->second.confirmed = finished.confirmed;
}

void RecordAppender::OnRecordRead(const std::string& id) {
  records_.erase(id);
}

void RecordAppender::OnLogReadToEnd(BootTime proof_time,
                                    BootTime now,
                                    std::vector<ControllerAction>& actions) {
  for (auto& [id, record] : records_) {
    const bool missing = record.answered_at && *record.answered_at < proof_time;
    if (!missing || now < record.sent_at + kResendInterval)
      continue;
    record.sent_at = now;
    record.answered_at.reset();
    record.confirmed = false;
    actions.emplace_back(AppendRecord{id, record.data});
  }
}

void RecordAppender::OnTick(BootTime now) {
  for (auto& [id, record] : records_) {
    if (!record.answered_at && now >= record.sent_at + kAnswerTimeout)
      record.answered_at = now;
  }
}

void RecordAppender::Withdraw(const std::string& id) {
  records_.erase(id);
}

bool RecordAppender::pending(const std::string& id) const {
  return records_.contains(id);
}

bool RecordAppender::NeedsLogRead(BootTime now) const {
  for (const auto& [id, record] : records_) {
    if (!record.answered_at)
      continue;
    if (!record.confirmed || now >= *record.answered_at + kReadBackTimeout)
      return true;
  }
  return false;
}

}  // namespace pollenrudder
