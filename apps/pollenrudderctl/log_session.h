// The tool's own replay of the platform's log.

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

// Reads the log from the oldest retained record to its end and replays it, as
// a daemon does, so that the tool judges an edit by the same rules.
class LogSession {
 public:
  static Result<std::unique_ptr<LogSession>> Open(
      std::string address,
      std::chrono::milliseconds timeout);
  ~LogSession();
  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  // Reads and replays all records up to the end of the log.
  Result<void> ReadToEnd();

  // Appends a record. A failure does not say that the record is not on the
  // log: read it, and look for the record's id.
  Result<LogOffset> Append(const std::string& data);

  const OwnershipTable& table() const;

  // What became of a record that was read, by its id.
  struct RecordOutcome {
    LogOffset offset = kNoOffset;
    bool applied = false;
    std::string reason;
  };
  // Returns null if no record with this id was read.
  const RecordOutcome* FindRecord(const std::string& id) const;

  // The writer of the record at `offset`, or empty if it is no longer
  // retained.
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
