// RecordAppender: the records that this instance appended and has not read
// back.

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

// Appends records and keeps each one until it is read back from the log. If the
// answer to an append is lost, the record may or may not be on the log. The log
// is then read, and if the record is missing, it is appended again with the
// same id. A second copy on the log fails its precondition and has no effect.
//
// Use: call Append() and keep the id. While pending() is true, the outcome is
// unknown. Afterwards the OwnershipTable shows it.
class RecordAppender {
 public:
  // A record whose append was not answered within this time counts as
  // unconfirmed.
  static constexpr std::chrono::milliseconds kAnswerTimeout{5000};
  // A record is appended again at most once per interval.
  static constexpr std::chrono::milliseconds kResendInterval{200};
  // The log reader normally returns an appended record within this time. If
  // not, the log is read at once.
  static constexpr std::chrono::milliseconds kReadBackTimeout{100};

  explicit RecordAppender(std::string instance);

  // Appends a record and returns its id, which is unique to this process.
  std::string Append(LogRecordBody body,
                     BootTime now,
                     std::vector<ControllerAction>& actions);

  void OnAppendFinished(const AppendFinished& finished, BootTime now);
  // Call when a record was read from the log, whether applied or ignored.
  void OnRecordRead(const std::string& id);
  // Call when the table includes all records appended before `proof_time`.
  // Appends the missing records again.
  void OnLogReadToEnd(BootTime proof_time,
                      BootTime now,
                      std::vector<ControllerAction>& actions);
  // Marks records whose append was not answered in time as unconfirmed.
  void OnTick(BootTime now);

  // Stops tracking the record, which is not appended again. It may still appear
  // on the log.
  void Withdraw(const std::string& id);

  // Whether the record has been neither read back nor withdrawn.
  bool pending(const std::string& id) const;
  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }

  // Whether a log read is needed to learn the outcome of a record.
  bool NeedsLogRead(BootTime now) const;

 private:
  struct Pending {
    std::string data;
    BootTime sent_at;
    // When the answer arrived or the wait for it timed out.
    std::optional<BootTime> answered_at;
    bool confirmed = false;
  };

  const std::string instance_;
  std::uint64_t next_number_ = 1;
  std::map<std::string, Pending> records_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_RECORD_APPENDER_H_
