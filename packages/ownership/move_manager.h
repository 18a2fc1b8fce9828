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

// A move drains its shards, appends a `move` record, and ends when the outcome
// is read. There are three causes:
//   - the upstream is lost: all its shards go in one record, which also carries
//     the fingerprints of the requests that were in flight;
//   - the upstream is stopping: its shards go in a few batches, so that one
//   slow
//     request delays only its own batch;
//   - a planner advises it.
// What is left to do is derived from the table and the stop schedule, so that a
// new leader goes on where an earlier one ended.
class MoveManager {
 public:
  static constexpr std::size_t kStopBatches = 8;
  // An advised move is given up if its drain takes so long, because requests
  // for its shards wait meanwhile. The planner advises it again.
  static constexpr std::chrono::milliseconds kAdvisedDrainTimeout{1000};
  static constexpr std::chrono::milliseconds kAdviceLifetime{1000};
  // Lifetime of suspect and quarantine marks (docs/design.md, section 5).
  static constexpr std::chrono::minutes kMarkLifetime{10};

  // Whether a handover of the upstream is in progress; no move starts then.
  using HandoverInProgress = std::function<bool(const std::string& upstream)>;

  MoveManager(ControlContext& context,
              const LeaseManager& leases,
              TargetChooser& targets,
              HandoverInProgress handover_in_progress);

  // After records were applied and leases were updated.
  void OnTableChanged();
  void OnUpstreamObserved(const UpstreamObserved& observed);
  void OnDrainFinished(const DrainFinished& finished);
  // Advice waits for a read of the log, for kAdviceLifetime at most.
  void OnMoveAdvised(const MoveAdvised& advice);
  void OnFingerprintConfirmed(const FingerprintConfirmed& confirmed);
  // A handover of the upstream was given up, and the whole upstream is open.
  void OnHandoverGivenUp(const std::string& upstream);
  void OnTick();

  // Whether a drain or a move record of the upstream is unfinished.
  bool IsMoving(const std::string& upstream) const;
  // Number of shards of the upstream that are drained or being drained.
  std::size_t MovingShards(const std::string& upstream) const;

 private:
  enum class WholeDrain { kNone, kStarted, kFinished };

  // Shards that move together.
  struct Batch {
    std::vector<std::uint32_t> shards;
    // The advised target; empty if the upstream is stopping.
    std::string target;
    std::uint64_t drain_id = 0;
    BootTime started_at;
    bool drained = false;
    std::string record;
  };

  struct Upstream {
    // The leadership that the drains belong to.
    LogOffset leader_fence = kNoOffset;
    // Of a lost upstream.
    WholeDrain whole = WholeDrain::kNone;
    std::uint64_t drain_id = 0;
    std::string lost_record;
    std::vector<std::uint64_t> suspects;
    std::vector<Batch> batches;
    bool no_target_logged = false;
  };

  struct WaitingAdvice {
    MoveAdvised advice;
    BootTime until;
  };

  void FollowAdvice(const WaitingAdvice& waiting);
  // Returns the entry of a led upstream.
  Upstream& Track(const std::string& name);
  void Advance(const std::string& name, Upstream& upstream);
  void AdvanceLost(const std::string& name, Upstream& upstream);
  void EndLost(const std::string& name, Upstream& upstream);
  void AdvanceBatches(const std::string& name, Upstream& upstream);
  // Returns false if the batch is finished or given up.
  bool AdvanceBatch(const std::string& name, Upstream& upstream, Batch& batch);
  void StartStopBatches(const std::string& name, Upstream& upstream);
  void StartBatch(const std::string& name, Upstream& upstream, Batch batch);
  void Resume(const std::string& name,
              const std::vector<std::uint32_t>& shards);
  // Returns the moves of those shards that `name` still owns and that have a
  // target.
  std::vector<ShardMove> PlanMoves(const std::string& name,
                                   const std::vector<std::uint32_t>& shards,
                                   const std::string& target) const;
  std::string SendMove(const std::string& name,
                       std::vector<ShardMove> moves,
                       std::vector<std::uint64_t> suspects,
                       const char* cause);
  void LogNoTarget(const std::string& name, Upstream& upstream);
  bool IsStopping(const std::string& name) const;
  // Shards owned by the upstream that are in no batch.
  std::vector<std::uint32_t> FreeShards(const std::string& name,
                                        const Upstream& upstream) const;

  ControlContext& context_;
  const LeaseManager& leases_;
  TargetChooser& targets_;
  const HandoverInProgress handover_in_progress_;
  // Only upstreams that this instance leads.
  std::map<std::string, Upstream> upstreams_;
  std::vector<WaitingAdvice> advice_;
  // Quarantine records that are not read yet, by service and fingerprint.
  std::map<std::pair<std::string, std::uint64_t>, std::string> quarantines_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_MOVE_MANAGER_H_
