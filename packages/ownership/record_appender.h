// RecordAppender: the records of this instance whose outcome is not read yet.

#ifndef POLLENRUDDER_OWNERSHIP_RECORD_APPENDER_H_
#define POLLENRUDDER_OWNERSHIP_RECORD_APPENDER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"
#include "ownership/log_record.h"

namespace pollenrudder {

// Sends records and keeps each until it is read on the log. An append whose
// answer is lost may have taken effect, so its outcome is never guessed: the
// log is read, and if the record is not on it, the same record is sent again
// under the same id. A second copy on the log is ignored by its precondition.
//
// Use: Append() and keep the id. While pending() holds, the outcome is not
// known; afterwards the OwnershipTable shows it.
class RecordAppender {
 public:
  // A record without an answer counts as unconfirmed after this time.
  static constexpr std::chrono::milliseconds kAnswerTimeout{5000};
  // A record is sent again at most at this interval.
  static constexpr std::chrono::milliseconds kResendInterval{200};
  // The reader normally has an appended record by then; if not, the log is
  // read at once.
  static constexpr std::chrono::milliseconds kReadBackTimeout{100};

  explicit RecordAppender(std::string instance);

  // Sends a record and returns its id, which is unique to this process.
  std::string Append(LogRecordBody body,
                     BootTime now,
                     std::vector<ControllerAction>& actions);

  void OnAppendFinished(const AppendFinished& finished, BootTime now);
  // A record was read on the log, applied or ignored.
  void OnRecordRead(const std::string& id);
  // The table includes all records before `proof_time`.
  void OnLogReadToEnd(BootTime proof_time,
                      BootTime now,
                      std::vector<ControllerAction>& actions);
  // Turns records without an answer into unconfirmed ones.
  void OnTick(BootTime now);

  // The record is not wanted any more and is not sent again. It may still
  // appear on the log.
  void Withdraw(const std::string& id);

  // Whether the record is wanted and not yet read.
  bool pending(const std::string& id) const;
  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }

  // Whether the outcome of a record waits for a read of the log.
  bool NeedsLogRead(BootTime now) const;

 private:
  struct Pending {
    std::string data;
    BootTime sent_at;
    // When the answer came, or was given up.
    std::optional<BootTime> answered_at;
    bool confirmed = false;
  };

  const std::string instance_;
  std::uint64_t next_number_ = 1;
  std::map<std::string, Pending> records_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_RECORD_APPENDER_H_
