// A small model of a deployment for the property test of the lease rules.

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

// The model advances in steps of real time.
inline constexpr std::chrono::milliseconds kModelStep{25};

// A record of the fake log.
struct ModelRecord {
  enum class Type { kTerm, kActive, kAbandon, kDeclareLost };

  Type type = Type::kTerm;
  std::string id;
  std::string by;
  LogOffset previous = kNoOffset;
  // The proposed term, the upstream and term that are active, or empty.
  TermState term;
  // The id of the abandoned record, or the instance that is declared lost.
  std::string subject;
};

// Replay of the fake log, with the conditions of docs/design.md, section 2.1.
class ModelTable {
 public:
  // Returns whether the record took effect.
  bool Apply(const ModelRecord& record, LogOffset offset);

  const TermState* Find(const std::string& upstream) const;
  bool IsLost(const std::string& instance) const;
  const std::map<std::string, TermState>& terms() const { return terms_; }

 private:
  std::map<std::string, TermState> terms_;
  std::set<std::string> abandoned_;
  std::set<std::string> lost_;
};

// What happens to the deployment at one moment.
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
    // Sequences that single faults rarely form by chance. The holder is the
    // instance with the lease of the upstream.
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
  // Chosen among the zones, instances or upstreams, by remainder.
  int subject = 0;
  int other = 0;
};

// The size and the faults of one run.
struct ModelRun {
  std::uint32_t seed = 0;
  int instances_per_zone = 2;
  int read_interval_steps = 8;
  // The clocks differ by just under this share. The model also runs with 10%,
  // because 1% of a lease is shorter than a step.
  int clock_rate_percent = 1;
  // Voters are random subsets instead of a selection from the live instances.
  bool random_voters = true;
  int steps = 0;
  std::vector<ModelFault> faults;
};

std::string ToString(const ModelRun& run);

// Instances in three zones that lead two upstreams with a short and a long
// hold. Each instance has its own clock, within the clock-rate bound.
class LeaseModel {
 public:
  static constexpr int kZones = 3;

  explicit LeaseModel(ModelRun run);
  ~LeaseModel();

  // Runs all steps of the run. Returns a description of the first moment with
  // two valid leases for an upstream, or nothing.
  std::optional<std::string> Run();

  // Ends all faults, restarts what is down and declares dead leaders without a
  // live voter lost.
  void Heal();
  // Runs more steps, like Run().
  std::optional<std::string> Advance(int steps);
  // Stops the instance that holds the lease of the upstream for good. Returns
  // false if there is none.
  bool KillLeader(const std::string& upstream);
  // The instance that may send to the upstream now, or an empty string.
  std::string Serving(const std::string& upstream) const;
  static const std::vector<std::string>& upstreams();

  // The records of the fake log, with the steps at which they arrived.
  std::string Trace() const;

  // How often a term other than a first one was read by its
  // leader.
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
  // Cuts the log from the next claimant of the upstream, and from the replaced
  // leader, when the claim reaches the log.
  void CutLogAtClaim(const ModelRecord& record);
  void At(int step, std::function<void()> action);
  void Deliver(Instance& to, std::function<void(Instance&)> message);
  std::optional<std::string> Check() const;

  void Act(Instance& self);
  void ReadLog(Instance& self);
  void AppendRecord(const Instance& self, ModelRecord record);
  void Apply(Instance& self, const ModelRecord& record, LogOffset offset);
  void TermChanged(Instance& self, const TermState& term);
  void Lead(Instance& self, const std::string& upstream);
  void Claim(Instance& self, const std::string& upstream);
  void AskPromises(Instance& self, const std::string& upstream);
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
  void SendPending(Instance& self, ModelRecord record);

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
  // After Heal() a message takes at most one step.
  bool healed_ = false;
  std::multimap<int, std::function<void()>> events_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::unique_ptr<Network> network_;
  std::vector<ModelRecord> log_;
  // The step at which each record arrived.
  std::vector<int> arrivals_;
  // By upstream, the steps for which the log is cut at the next claim.
  std::map<std::string, int> cut_at_claim_;
  int record_ids_ = 0;
  int takeovers_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MODEL_TEST_H_
