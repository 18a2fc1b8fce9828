// ControlContext: what the parts of Controller share.

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

// Lives as long as the Controller. Each part reads it, appends records through
// it and adds its actions to it.
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

  // The moment of the input that is handled.
  Now now{};
  std::vector<ControllerAction> actions;
  // The newest proof time of a read that completed the table.
  std::optional<BootTime> last_proof_time;
  std::uint64_t next_drain_id = 1;
  // By instance: when its last message arrived. The instance list goes on
  // showing the instances of a zone that is cut off.
  std::map<std::string, BootTime> last_message_at;
  bool leaving = false;
  // Drains and resumes are carried out after the routing table of the same
  // input: a drain would otherwise be ended by a table with the shard's first
  // epoch, and a resume would open a shard that the table gives away.
  std::vector<ControllerAction> deferred_actions;
  // Set by a part that waits for a read of the log.
  bool log_read_requested = false;

  const OwnershipTable& table() const { return replay.table(); }
  const Document& document() const { return replay.table().document(); }
  const std::string& self() const { return options.instance; }

  // Starts a drain and returns its id.
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

  // Whether this version may write records to this log at all.
  bool MayAppend() const {
    return !replay.changes_stopped() && !replay.seeking_checkpoint();
  }

  // Whether the log was read a moment ago, so that a record is likely to be
  // appended and to meet its precondition. If not, the log is read at once.
  bool ReadyToAppend() {
    if (!MayAppend())
      return false;
    if (ReadWithin(options.log_lease_duration / 2))
      return true;
    log_read_requested = true;
    return false;
  }

  // Whether an instance of the zone sent a message lately. Instances exchange
  // load reports every 2 s and promises every 250 ms.
  bool HasRecentMessageFromZone(const std::string& zone) const {
    constexpr std::chrono::seconds kLately{3};
    for (const ListedInstance& entry : directory.instances()) {
      const auto last = last_message_at.find(entry.name);
      if (entry.zone == zone && last != last_message_at.end() &&
          now.boot - last->second < kLately) {
        return true;
      }
    }
    return false;
  }

  bool ReadWithin(std::chrono::nanoseconds age) const {
    return last_proof_time && now.boot - *last_proof_time < age;
  }

  // Whether this instance takes no new leadership and gives its own up.
  bool IsSteppingDown() const {
    return leaving || StopSchedule::IsInstanceStopping(
                          document(), directory, options.instance, now.wall);
  }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROL_CONTEXT_H_
