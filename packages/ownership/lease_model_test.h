// A simulated deployment for the property tests of the lease rules.

#ifndef POLLENRUDDER_OWNERSHIP_LEASE_MODEL_TEST_H_
#define POLLENRUDDER_OWNERSHIP_LEASE_MODEL_TEST_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ownership/claim_tracker.h"
#include "ownership/leader_lease.h"
#include "ownership/voter_promises.h"

namespace pollenrudder {

// Real time that passes in one step of the model.
inline constexpr std::chrono::milliseconds kModelStep{25};

// A record of the simulated log.
struct ModelRecord {
  enum class Type { kTerm, kActive, kAbandon, kDeclareLost };

  Type type = Type::kTerm;
  std::string id;
  std::string by;
  LogOffset previous = kNoOffset;
  // The proposed term (kTerm), or only its upstream (kActive); empty otherwise.
  TermState term;
  // The id of the abandoned record, or the instance that is declared lost.
  std::string subject;
};

// Replays the simulated log with the preconditions of docs/design.md,
// section 2.1.
class ModelTable {
 public:
  // Returns whether the record took effect.
  bool Apply(const ModelRecord& record, LogOffset offset);

  const TermState* Find(const std::string& upstream) const;
  bool IsDeclaredLost(const std::string& instance) const;
  const std::map<std::string, TermState>& terms() const { return terms_; }

 private:
  std::map<std::string, TermState> terms_;
  std::set<std::string> abandoned_;
  std::set<std::string> declared_lost_;
};

// A fault of the deployment, or a change of a term.
struct ModelFault {
  enum class Kind {
    kCutZoneFromLog,
    kCutInstanceFromLog,
    kCutZones,
    kCutZoneFromAll,
    kCutPair,
    kCutOneWay,
    kLogDown,
    kSlowAppends,
    kPause,
    kCrash,
    kHandover,
    kRevise,
    // Sequences that random single faults rarely form. The holder is the
    // instance with the valid lease of the upstream.
    kIsolateHolderZone,
    kReviseThenCutLog,
    kSlowHandover,
    kDisputedClaim,
    kCrashClaimant,
  };
  static constexpr int kKinds = 17;

  Kind kind = Kind::kPause;
  int start = 0;
  int duration = 0;
  // Select availability zones, instances or upstreams by the remainder.
  int subject = 0;
  int other = 0;
};

// The parameters and the faults of one run.
struct ModelRun {
  std::uint32_t seed = 0;
  int instances_per_zone = 2;
  int read_interval_steps = 8;
  // The clocks drift by just under this share. The model also runs with 10%,
  // because 1% of a lease is shorter than a step.
  int max_clock_drift_percent = 1;
  // Whether voters are random subsets of the live instances, in place of the
  // result of SelectVoters().
  bool random_voters = true;
  int steps = 0;
  std::vector<ModelFault> faults;
};

std::string ToString(const ModelRun& run);

// Instances in three zones lead two upstreams, one with a short and one with a
// long isolation hold. The clock of each instance drifts within the bound.
//
// Use: Run() performs the steps and the faults of the run and checks in each
// step that no upstream has two valid leases. EndFaults(), KillLeader() and
// Advance() then test the recovery.
class LeaseModel {
 public:
  static constexpr int kZones = 3;

  explicit LeaseModel(ModelRun run);
  ~LeaseModel();

  // Runs all steps of the run. Stops at the first step in which an upstream has
  // two valid leases and returns a description of it.
  std::optional<std::string> Run();

  // Ends all faults, restarts the instances that are down, and declares leaders
  // lost that are gone and have no live voter.
  void EndFaults();
  // Runs further steps with the checks of Run().
  std::optional<std::string> Advance(int steps);
  // Stops the instance with the valid lease of the upstream permanently.
  // Returns false if there is none.
  bool KillLeader(const std::string& upstream);
  // The name of the instance that may send to the upstream now, or an empty
  // string.
  std::string ActiveLeader(const std::string& upstream) const;
  static const std::vector<std::string>& upstreams();

  // Lists the records of the simulated log with their arrival steps.
  std::string Trace() const;

  // How often a leader has read its term, other than a first term.
  int takeovers() const { return takeovers_; }

 private:
  struct Instance;
  struct Network;

  void Step();
  void StartFaults();
  void StartFault(const ModelFault& fault);
  void StartSequence(const ModelFault& fault);
  void CutZoneFromLog(int zone, int end);
  void CutZoneFromZones(int zone, int end);
  // If a disputed claim is pending for the upstream of `record`: cuts the
  // claimant and the replaced leader off from the log, and reconnects them with
  // the other instances.
  void CutLogAtClaim(const ModelRecord& record);
  void Schedule(int step, std::function<void()> action);
  void Deliver(Instance& to, std::function<void(Instance&)> message);
  std::optional<std::string> FindLeaseConflict() const;

  void RunInstance(Instance& self);
  void ReadLog(Instance& self);
  void AppendRecord(const Instance& self, ModelRecord record);
  void Apply(Instance& self, const ModelRecord& record, LogOffset offset);
  void OnTermChanged(Instance& self, const TermState& term);
  void MaintainLease(Instance& self, const std::string& upstream);
  void TryClaim(Instance& self, const std::string& upstream);
  void RequestPromises(Instance& self, const std::string& upstream);
  void AnswerPromise(Instance& self,
                     const std::string& leader,
                     const std::vector<PromisedTerm>& terms,
                     std::vector<PromisedTerm>* granted);
  void Revise(Instance& self,
              const std::string& upstream,
              std::vector<Voter> voters,
              std::chrono::nanoseconds hold);
  void HandOver(Instance& self,
                const std::string& upstream,
                const Instance& target);
  void SendChange(Instance& self, ModelRecord record);

  std::vector<Voter> ChooseVoters(const Instance& leader,
                                  const TermState* current,
                                  const std::vector<std::string>& unresponsive);
  std::vector<std::string> LiveInstances(const std::string& zone) const;
  void Restart(Instance& instance);
  BootTime Clock(const Instance& instance) const;
  Instance* FindHolder(const std::string& upstream) const;
  int Random(int limit);
  int Delay();

  ModelRun run_;
  const LeaseDurations durations_;
  std::mt19937 random_;
  int now_ = 0;
  // After EndFaults() a message takes at most one step.
  bool faults_ended_ = false;
  std::multimap<int, std::function<void()>> events_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::unique_ptr<Network> network_;
  std::vector<ModelRecord> log_;
  // The step at which each record arrived.
  std::vector<int> arrival_steps_;
  // By upstream: for how many steps the log is cut off at the next claim.
  std::map<std::string, int> cut_at_claim_;
  int record_ids_ = 0;
  int takeovers_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MODEL_TEST_H_
