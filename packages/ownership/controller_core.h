// Controller::Core: owns the components of Controller and dispatches inputs.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_CORE_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_CORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/checkpoint_writer.h"
#include "ownership/claim_manager.h"
#include "ownership/control_context.h"
#include "ownership/controller.h"
#include "ownership/lease_manager.h"
#include "ownership/load_planner.h"
#include "ownership/move_manager.h"
#include "ownership/shard_placer.h"
#include "ownership/target_chooser.h"
#include "ownership/term_handover.h"

namespace pollenrudder {

// Passes each input to the components that it concerns, then adds the actions
// that depend on the state as a whole: lease changes, the routing table and log
// reads.
class Controller::Core {
 public:
  // While promises are missing, the log is read every
  // ControllerOptions::log_read_interval. If a record or a claim depends on a
  // read, this shorter interval applies.
  static constexpr std::chrono::milliseconds kUrgentReadInterval{100};
  // Planned stops and planner tasks scan all terms. At the planned capacity
  // this takes too long for every tick.
  static constexpr std::chrono::milliseconds kTaskInterval{250};

  explicit Core(ControllerOptions options);

  std::vector<ControllerAction> Handle(const ControllerInput& input,
                                       const Now& now);
  std::vector<std::string> Snapshot() const;
  Result<void> LoadSnapshot(const std::vector<std::string>& parts);
  LogOffset next_offset() const { return context_.replay.next_offset(); }
  std::string StatusJson(const Now& now) const;

 private:
  void On(const LogRecordsRead& read);
  void On(const LogReadFailed& failure);
  void On(const AppendFinished& finished);
  void On(const PromiseRequested& request);
  void On(const PromiseAnswered& answer);
  void On(const InstancesListed& listed);
  void On(const UpstreamObserved& observed);
  void On(const FingerprintConfirmed& confirmed);
  void On(const DrainFinished& finished);
  void On(const LoadReported& report);
  void On(const MoveAdvised& advice);
  void On(const LeaveRequested& request);
  void On(const Tick& tick);

  // Logs the outcome of a record, and resolves it if this instance wrote it.
  void OnRecord(const AppliedRecord& applied);
  void LogOutcome(const AppliedRecord& applied);
  void OnTableChanged();
  // Runs the planner of each service and the checkpoint writer if this instance
  // is responsible for them.
  void RunLeaderTasks();
  // Marks all fingerprints of the table after the table was replaced.
  void MarkAllFingerprints();
  void Mark(const std::string& service,
            const std::vector<std::uint64_t>& suspects,
            const std::vector<std::uint64_t>& quarantined,
            WallTime until);
  void FinishLeave();
  // Returns the first upstream of each service, by name. Its leader is the
  // planner of the service.
  std::map<std::string, std::string> FirstUpstreams() const;
  void UpdateStops();
  void PublishRoutingTable();
  void ReadLogIfNeeded();

  ControlContext context_;
  ClaimManager claims_;
  LeaseManager leases_;
  LoadPlanner load_planner_;
  TargetChooser targets_;
  ShardPlacer placer_;
  MoveManager moves_;
  TermHandover handover_;
  CheckpointWriter checkpoints_;

  // Whether the routing table must be rebuilt.
  bool routing_outdated_ = true;
  // Whether a snapshot was loaded since the last input.
  bool snapshot_loaded_ = false;
  bool read_again_ = false;
  bool leave_finished_ = false;
  LogOffset first_retained_ = kNoOffset;
  RoutingTablePointer routing_;
  bool log_failing_ = false;
  std::optional<BootTime> last_read_at_;
  std::optional<BootTime> last_tasks_at_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_CORE_H_
