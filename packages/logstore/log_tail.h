// The newest records of the log, kept for zone peers that read them here.

#ifndef POLLENRUDDER_LOGSTORE_LOG_TAIL_H_
#define POLLENRUDDER_LOGSTORE_LOG_TAIL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

#include "ownership/controller_input.h"

namespace pollenrudder {

// A bounded buffer between the platform thread, which adds what it reads, and
// the peer server, which answers log.tail from it. Thread-safe.
class LogTail {
 public:
  // Told on the platform thread after records were added.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnRecordsAdded() = 0;
  };

  static constexpr std::size_t kDefaultMaxBytes = 8u << 20;

  explicit LogTail(std::size_t max_bytes = kDefaultMaxBytes);

  // Adds the records of a read. Records already held are skipped; a gap drops
  // what was held before it.
  void Add(const LogRecordsRead& read);

  // Returns at most `limit` records from `from` on and the proof time of the
  // newest read, or nothing if records from `from` on are no longer held.
  std::optional<LogRecordsRead> Read(LogOffset from, std::size_t limit) const;

  // The listener must outlive the tail or be reset to null.
  void SetListener(Listener* listener);

 private:
  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  // Invariant: consecutive offsets that end at next_ - 1.
  std::deque<RawLogRecord> records_;
  std::size_t bytes_ = 0;
  LogOffset first_retained_ = kNoOffset;
  // The offset of the oldest record held, or next_ if there is none.
  LogOffset first_ = 1;
  LogOffset next_ = 1;
  BootTime proof_time_;
  bool has_read_ = false;
  std::mutex listener_mutex_;
  Listener* listener_ = nullptr;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOG_TAIL_H_
