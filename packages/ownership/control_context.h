// State and helper functions that the parts of Controller share.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROL_CONTEXT_H_
#define POLLENRUDDER_OWNERSHIP_CONTROL_CONTEXT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_event.h"
#include "base/log_field.h"
#include "ownership/controller_action.h"
#include "ownership/controller_options.h"
#include "ownership/instance_directory.h"
#include "ownership/lease_durations.h"
#include "ownership/log_replay.h"
#include "ownership/record_appender.h"
#include "ownership/stop_schedule.h"

namespace pollenrudder {

// Owned by Controller and passed by reference to each of its parts. While an
// input is handled, the parts read the replayed table through it, append log
// records and add actions; Controller returns the collected actions.
struct ControlContext {
  explicit ControlContext(ControllerOptions controller_options)
      : options(std::move(controller_options)),
        durations(LeaseDurations::FromOptions(options)),
        replay(durations),
        appender(options.instance) {}

  const ControllerOptions options;
  const LeaseDurations durations;
  LogReplay replay;
  InstanceDirectory directory;
  StopSchedule stops;
  RecordAppender appender;

  // The time of the input that is being handled.
  Now now{};
  std::vector<ControllerAction> actions;
  // The start of the last log read that reached the end of the log: the table
  // is complete up to this time.
  std::optional<BootTime> last_proof_time;
  std::uint64_t next_drain_id = 1;
  // Arrival time of the last message, by instance. The instance list does not
  // show this: it keeps instances of an availability zone that is cut off.
  std::map<std::string, BootTime> last_message_at;
  bool leaving = false;
  // Drains and resumes, performed after the routing table of the same input is
  // published. Otherwise a table with the first epoch of a shard would end its
  // drain, and a resume would open a shard that the table assigns to another
  // owner.
  std::vector<ControllerAction> deferred_actions;
  // Set by a part that waits for a log read.
  bool log_read_requested = false;

  const OwnershipTable& table() const { return replay.table(); }
  const Document& document() const { return replay.table().document(); }
  const std::string& self() const { return options.instance; }

  // Adds a drain to the deferred actions and returns its id.
  std::uint64_t StartDrain(DrainShards drain) {
    drain.drain_id = next_drain_id++;
    deferred_actions.emplace_back(drain);
    return drain.drain_id;
  }

  void AddAction(ControllerAction action) {
    actions.push_back(std::move(action));
  }

  void AddLogEvent(const LogEvent& event, std::vector<LogField> fields) {
    actions.emplace_back(EmitLogEvent{event, std::move(fields)});
  }

  std::string Append(LogRecordBody body) {
    return appender.Append(std::move(body), now.boot, actions);
  }

  // Whether this instance may write records at all. False if the log has
  // regressed or holds records of a newer version, and while records beyond the
  // table are missing.
  bool MayAppend() const {
    return !replay.changes_stopped() && !replay.seeking_checkpoint();
  }

  // Whether the last log read is recent enough that an append is likely to
  // succeed and to meet its precondition. If not, requests a log read.
  bool ReadyToAppend() {
    if (!MayAppend())
      return false;
    if (IsLogReadWithin(options.log_lease_duration / 2))
      return true;
    log_read_requested = true;
    return false;
  }

  // Whether an instance of the zone sent a message within the last 3 s.
  // Instances exchange load reports every 2 s and promises every 400 ms.
  bool HasRecentMessageFromZone(const std::string& zone) const {
    constexpr std::chrono::seconds kMaxMessageAge{3};
    for (const ListedInstance& entry : directory.instances()) {
      const auto message = last_message_at.find(entry.name);
      if (entry.zone == zone && message != last_message_at.end() &&
          now.boot - message->second < kMaxMessageAge) {
        return true;
      }
    }
    return false;
  }

  bool IsLogReadWithin(std::chrono::nanoseconds age) const {
    return last_proof_time && now.boot - *last_proof_time < age;
  }

  // Whether this instance hands over its terms and takes no new ones, because
  // it is leaving or in a planned stop.
  bool IsSteppingDown() const {
    return leaving || StopSchedule::IsInstanceStopping(
                          document(), directory, options.instance, now.wall);
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROL_CONTEXT_H_
