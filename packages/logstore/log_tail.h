// Buffers the newest log records for same-zone peers, which read them from this
// instance instead of the log service.

#ifndef POLLENRUDDER_LOGSTORE_LOG_TAIL_H_
#define POLLENRUDDER_LOGSTORE_LOG_TAIL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

#include "ownership/controller_input.h"

namespace pollenrudder {

// A bounded buffer. The logstore thread adds the records that it reads; the
// peer server reads them to respond to log.tail. Thread-safe.
class LogTail {
 public:
  // Called on the logstore thread after records were added.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnRecordsAdded() = 0;
  };

  static constexpr std::size_t kDefaultMaxBytes = 8u << 20;

  explicit LogTail(std::size_t max_bytes = kDefaultMaxBytes);

  // Adds the records of a read. Skips records that the buffer already contains.
  // If there is a gap, removes the records before it.
  void Add(const LogRecordsRead& read);

  // Returns at most `limit` records from `from` on and the proof time of the
  // newest read, or nothing if the buffer no longer contains all records
  // from `from` on.
  std::optional<LogRecordsRead> Read(LogOffset from, std::size_t limit) const;

  // `listener` must outlive this object or be reset to null.
  void SetListener(Listener* listener);

 private:
  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  // Invariant: the offsets are consecutive and end at next_ - 1.
  std::deque<RawLogRecord> records_;
  std::size_t bytes_ = 0;
  LogOffset first_retained_ = kNoOffset;
  // The offset of the oldest record in the buffer, or next_ if it is empty.
  LogOffset first_ = 1;
  LogOffset next_ = 1;
  BootTime proof_time_;
  bool has_read_ = false;
  std::mutex listener_mutex_;
  Listener* listener_ = nullptr;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOG_TAIL_H_
