// Client of the platform's log that replays it into an ownership table.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_LOG_SESSION_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_LOG_SESSION_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "base/log_offset.h"
#include "base/result.h"

namespace pollenrudder {

class OwnershipTable;

// Replays the log from the oldest retained record to its end with the rules of
// the daemon, so that an edit is accepted here only if daemons accept it.
// Create a session with Open(), which reads the log; ReadToEnd() reads newer
// records.
class LogSession {
 public:
  static Result<std::unique_ptr<LogSession>> Open(
      std::string address,
      std::chrono::milliseconds timeout);
  ~LogSession();
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  // Reads and replays the records since the last read, up to the end of the
  // log.
  Result<void> ReadToEnd();

  // Appends a record and returns its offset. After a failure the record may
  // still be on the log: call ReadToEnd(), then FindRecord() with the id of the
  // record.
  Result<LogOffset> Append(const std::string& data);

  const OwnershipTable& table() const;

  // Whether a record took effect, and the reason if it did not.
  struct RecordOutcome {
    LogOffset offset = kNoOffset;
    bool applied = false;
    std::string reason;
  };
  // Returns null if no record with this id was read.
  const RecordOutcome* FindRecord(const std::string& id) const;

  // Returns the writer of the record at `offset`, or an empty string if the log
  // no longer retains the record.
  std::string WriterOf(LogOffset offset) const;

 private:
  class Replay;

  LogSession(std::string address, std::chrono::milliseconds timeout);

  const std::string address_;
  const std::chrono::milliseconds timeout_;
  const std::unique_ptr<Replay> replay_;
  std::map<std::string, RecordOutcome> record_outcomes_;
  std::map<LogOffset, std::string> writers_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_LOG_SESSION_H_
