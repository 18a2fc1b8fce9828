// The inside of Controller.

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

// Owns the parts, passes each input to those that it concerns, and ends each
// input with the actions that follow from the state as a whole: lease ends, the
// routing table and reads of the log.
class Controller::Core {
 public:
  // Missing promises need a read at each ControllerOptions::log_read. A read
  // that a record or a claim waits for comes at this shorter interval.
  static constexpr std::chrono::milliseconds kUrgentReadInterval{100};
  // Stops and the duties of first leaders look at every term, which takes too
  // long for each tick at the two-year size.
  static constexpr std::chrono::milliseconds kDutyInterval{250};

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

  // Logs the outcome of a record and resolves it if it is an own one.
  void OnRecord(const AppliedRecord& applied);
  void LogOutcome(const AppliedRecord& applied);
  void OnTableChanged();
  // Runs the duties of the planner of each service, and of the checkpoint
  // writer, as far as this instance has them.
  void RunLeaderDuties();
  // Marks every fingerprint of the table, after it was replaced as a whole.
  void MarkAllFingerprints();
  void Mark(const std::string& service,
            const std::vector<std::uint64_t>& suspects,
            const std::vector<std::uint64_t>& quarantined,
            WallTime until);
  void FinishLeave();
  // By service: its first upstream by name, whose leader plans the service.
  std::map<std::string, std::string> FirstUpstreams() const;
  void UpdateStops();
  void PublishRoutingTable();
  void ReadLogIfWanted();

  ControlContext context_;
  ClaimManager claimant_;
  LeaseManager leases_;
  LoadPlanner loads_;
  TargetChooser targets_;
  ShardPlacer placer_;
  MoveManager moves_;
  TermHandover handover_;
  CheckpointWriter checkpoints_;

  // Whether the routing table has to be built again.
  bool routing_outdated_ = true;
  // Whether a snapshot was loaded since the last input.
  bool snapshot_loaded_ = false;
  bool read_again_ = false;
  bool leave_finished_ = false;
  LogOffset first_retained_ = kNoOffset;
  RoutingTablePointer routing_;
  bool log_failing_ = false;
  std::optional<BootTime> last_read_sent_;
  std::optional<BootTime> last_duties_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_CORE_H_
