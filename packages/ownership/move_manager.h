// MoveManager: moves shards away from the upstreams that this instance leads.

#ifndef POLLENRUDDER_OWNERSHIP_MOVE_MANAGER_H_
#define POLLENRUDDER_OWNERSHIP_MOVE_MANAGER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/control_context.h"
#include "ownership/controller_input.h"
#include "ownership/lease_manager.h"
#include "ownership/target_chooser.h"

namespace pollenrudder {

// A move drains its shards, appends a `move` record and ends when the outcome
// of the record is read. It has one of three causes:
//   - The upstream is lost: one record moves all its shards and carries the
//     fingerprints of the requests that were in flight.
//   - The upstream is stopping: its shards move in a few batches, so that a
//     slow request delays only its own batch.
//   - A planner advises it.
//
// The remaining moves are derived from the table and the stop schedule, so a
// new leader continues where the previous one stopped.
class MoveManager {
 public:
  static constexpr std::size_t kStopBatches = 8;
  // An advised move is canceled if its drain takes longer, because requests for
  // its shards wait during the drain. The planner can advise it again.
  static constexpr std::chrono::milliseconds kAdvisedDrainTimeout{1000};
  static constexpr std::chrono::milliseconds kAdviceLifetime{1000};
  // Time without an entry in the instance list that proves that a lost upstream
  // has ended. A list of a restarted platform may lack entries for a moment.
  static constexpr std::chrono::seconds kRemovedTimeout{3};
  // How long suspect and quarantine marks last (docs/design.md, section 5).
  static constexpr std::chrono::minutes kMarkLifetime{10};

  // Whether a handover of the upstream is in progress. No move starts
  // meanwhile.
  using HandoverInProgress = std::function<bool(const std::string& upstream)>;

  MoveManager(ControlContext& context,
              const LeaseManager& leases,
              TargetChooser& targets,
              HandoverInProgress handover_in_progress);

  // Call after records were applied and the leases were updated.
  void OnTableChanged();
  void OnUpstreamObserved(const UpstreamObserved& observed);
  void OnDrainFinished(const DrainFinished& finished);
  // If the log was not read recently, the advice waits for a read, for at most
  // kAdviceLifetime.
  void OnMoveAdvised(const MoveAdvised& advice);
  void OnFingerprintConfirmed(const FingerprintConfirmed& confirmed);
  // Call when a handover of the upstream was canceled and all its shards have
  // been reopened.
  void OnHandoverGivenUp(const std::string& upstream);
  void OnTick();

  // Whether a drain or a move record of the upstream is unfinished.
  bool IsMoving(const std::string& upstream) const;
  // The number of shards of the upstream that are drained or being drained.
  std::size_t MovingShards(const std::string& upstream) const;

 private:
  enum class WholeDrain { kNone, kStarted, kFinished };

  // Shards that are drained and moved together.
  struct Batch {
    std::vector<std::uint32_t> shards;
    // The advised target. Empty if the cause is that the upstream is stopping.
    std::string target;
    std::uint64_t drain_id = 0;
    BootTime started_at;
    bool drained = false;
    std::string record;
  };

  struct Upstream {
    // The leadership in which the drains were started.
    LogOffset leader_fence = kNoOffset;
    // The drain of all shards and the move record, while the upstream is lost.
    WholeDrain whole_drain = WholeDrain::kNone;
    std::uint64_t drain_id = 0;
    std::string lost_record;
    std::vector<std::uint64_t> suspects;
    // Requests in flight when the upstream was lost without proof of a crash.
    // Empty unless it is lost.
    std::vector<UpstreamObserved::UnprovedCrash> unproved_crashes;
    std::vector<Batch> batches;
    bool no_target_logged = false;
  };

  struct WaitingAdvice {
    MoveAdvised advice;
    BootTime until;
  };

  void StartAdvisedMove(const WaitingAdvice& waiting);
  // Marks the requests that were in flight on a lost upstream, if the instance
  // list proves that it has ended.
  void ConfirmRemoved(const std::string& name, Upstream& upstream);
  // Returns the entry of a led upstream, and adds it if necessary.
  Upstream& FindOrAdd(const std::string& name);
  void Advance(const std::string& name, Upstream& upstream);
  void AdvanceLost(const std::string& name, Upstream& upstream);
  void EndLost(const std::string& name, Upstream& upstream);
  void AdvanceBatches(const std::string& name, Upstream& upstream);
  // Returns false if the batch is finished or canceled.
  bool AdvanceBatch(const std::string& name, Upstream& upstream, Batch& batch);
  void StartStopBatches(const std::string& name, Upstream& upstream);
  void StartBatch(const std::string& name, Upstream& upstream, Batch batch);
  void Resume(const std::string& name,
              const std::vector<std::uint32_t>& shards);
  // Returns moves for those of the shards that `name` still owns and that have
  // a target.
  std::vector<ShardMove> PlanMoves(const std::string& name,
                                   const std::vector<std::uint32_t>& shards,
                                   const std::string& target) const;
  std::string AppendMove(const std::string& name,
                         std::vector<ShardMove> moves,
                         std::vector<std::uint64_t> suspects,
                         const char* cause);
  void LogNoTarget(const std::string& name, Upstream& upstream);
  bool IsStopping(const std::string& name) const;
  // The shards owned by the upstream that are in no batch.
  std::vector<std::uint32_t> UnbatchedShards(const std::string& name,
                                             const Upstream& upstream) const;

  ControlContext& context_;
  const LeaseManager& leases_;
  TargetChooser& targets_;
  const HandoverInProgress handover_in_progress_;
  // Contains only upstreams that this instance leads.
  std::map<std::string, Upstream> upstreams_;
  std::vector<WaitingAdvice> advice_;
  // Ids of the quarantine records that have not been read back, by service and
  // fingerprint.
  std::map<std::pair<std::string, std::uint64_t>, std::string> quarantines_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_MOVE_MANAGER_H_
