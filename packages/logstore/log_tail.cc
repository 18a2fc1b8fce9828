// LogTail: a deque of records, bounded by the size of their data.

#include "logstore/log_tail.h"

#include <algorithm>

namespace pollenrudder {

LogTail::LogTail(std::size_t max_bytes) : max_bytes_(max_bytes) {}

void LogTail::Add(const LogRecordsRead& read) {
  {
    const std::lock_guard lock(mutex_);
    if (has_read_ && read.next < next_)
      return;
    const LogOffset read_first =
        read.records.empty() ? read.next : read.records.front().offset;
    if (!has_read_ || read_first > next_) {
      records_.clear();
      bytes_ = 0;
      first_ = read_first;
    }
    for (const RawLogRecord& record : read.records) {
      if (!records_.empty() && record.offset <= records_.back().offset)
        continue;
      bytes_ += record.data.size();
      records_.push_back(record);
    }
    while (bytes_ > max_bytes_) {
      bytes_ -= records_.front().data.size();
      first_ = records_.front().offset + 1;
      records_.pop_front();
    }
    next_ = read.next;
    first_retained_ = read.first_retained;
    proof_time_ = std::max(proof_time_, read.proof_time);
    has_read_ = true;
  }
  const std::lock_guard lock(listener_mutex_);
  if (listener_)
    listener_->OnRecordsAdded();
}

std::optional<LogRecordsRead> LogTail::Read(LogOffset from,
                                            std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  // A reader that starts before the first retained record needs only the
  // retained ones.
  if (!has_read_ || std::max(from, first_retained_) < first_)
    return std::nullopt;
  LogRecordsRead read;
  read.first_retained = first_retained_;
  read.proof_time = proof_time_;
  read.next = next_;
  const LogOffset start = std::max(from, first_);
  if (start < next_) {
    auto record =
        records_.begin() + static_cast<std::ptrdiff_t>(start - first_);
    for (; record != records_.end() && read.records.size() < limit; ++record)
      read.records.push_back(*record);
    read.next = read.records.back().offset + 1;
  }
  read.reached_end = read.next == next_;
  return read;
}

void LogTail::SetListener(Listener* listener) {
  const std::lock_guard lock(listener_mutex_);
  listener_ = listener;
}

}  // namespace pollenrudder
