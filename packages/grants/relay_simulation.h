// Simulates instances, upstreams, the network and the store around
// GrantCoordinator in a deployment with relays: instances that learn changes
// from datagrams, lists that lag, upstreams that restart at their address or
// under their name, reads that are no snapshot of the log, and a log that is
// replaced by an earlier copy.

#ifndef POLLENRUDDER_GRANTS_RELAY_SIMULATION_H_
#define POLLENRUDDER_GRANTS_RELAY_SIMULATION_H_

#include <array>
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
#include <utility>
#include <vector>

#include "grants/grant_coordinator.h"
#include "grants/simulated_upstream.h"

namespace pollenrudder {

// One run with random faults, which a seed determines. It checks after each
// step that no key has two owners, that tokens increase, that keys are granted
// to no upstream while another is at work on them, and that each instance has
// the state that the log has at its offset.
class RelaySimulation {
 public:
  struct Options {
    // Also replaces the log by earlier copies of itself, and checks that all
    // keys are served again after the faults have ended.
    bool restores_log = false;
    // Loses the part of the log on which a second leader took over from one
    // that was cut off from the store and moved keys. Implies the checks of
    // `restores_log`.
    bool loses_takeover = false;
  };

  explicit RelaySimulation(std::uint32_t seed);
  RelaySimulation(std::uint32_t seed, Options options);

  // Returns what was violated first, or an empty string.
  std::string Run();

  // The share of the sampled keys that had an owner while there were faults.
  double served_share() const;

 private:
  static constexpr int kInstances = 5;
  // The last instances collect updates.
  static constexpr int kFirstRelay = 3;
  static constexpr int kAddresses = 5;
  static constexpr std::array<KeyNumber, 10> kSampledKeys{
      0, 12000, 20000, 20004, 20008, 20012, 33000, 46000, 50000, 65535};

  // The state after the records of one epoch before an offset.
  struct State {
    KeyTable table;
    bool has_table = false;
    std::optional<GrantTermRecord> term;
  };
  struct StoredRecord {
    GrantLogRecord record;
    // The epoch for which it was appended. Only the records of the present
    // epoch are returned to readers; all count for the offsets.
    std::uint64_t epoch = 0;
    BootTime appended_at{};
  };
  // A log that was replaced by an earlier copy.
  struct FormerLog {
    BootTime replaced_at{};
    std::vector<StoredRecord> records;
  };
  struct Link {
    BootTime last_arrival{};
    BootTime full_until{};
    // How long a message waits in the link while it is full.
    std::chrono::milliseconds queue{0};
  };
  struct LastGrant {
    std::string upstream;
    std::uint64_t token = 0;
  };
  // An action at a later time.
  struct Event {
    BootTime at;
    std::function<void()> run;
  };
  struct Queue {
    std::deque<KeyCall> calls;
    bool in_progress = false;
  };
  // When a leader is cut off from the store, before another takes over on the
  // part of the log that is lost.
  enum class CutOff {
    kAtOnce,
    // After an append that was executed and whose answer is lost.
    kAtAppend,
    kAtResignation,
    kBeforeFirstTable,
  };
  struct Takeover {
    int former = 0;
    int successor = 0;
    CutOff cut_off = CutOff::kAtOnce;
    // With CutOff::kAtAppend, the appends until then.
    int appends_left = 0;
    bool is_cut_off = false;
    BootTime cut_off_at{};
    BootTime copied_at{};
    bool restores_at_once = false;
    // Calls of the successor to this address do not arrive. Without
    // `is_refused`, they time out.
    std::optional<int> unreachable;
    bool is_refused = false;
  };
  struct Instance {
    std::unique_ptr<GrantCoordinator> coordinator;
    BootTime disconnected_until{};
    BootTime suspended_until{};
    // No datagrams are sent or received.
    BootTime isolated_until{};
    BootTime down_until{};
    BootTime stopped_at{};
    BootTime next_read{};
    bool reading = false;
    int incarnation = 0;
    std::chrono::milliseconds list_lag{0};
    std::map<std::string, Queue> queues;
    std::deque<TableUpdate> sent_updates;
    // Upstreams that have ended, and until when they are reported.
    std::vector<std::pair<UpstreamIncarnation, BootTime>> replaced;
    // As of the last check.
    std::uint64_t epoch = 0;
    bool was_leader = false;
    // Has been the leader since an earlier epoch of the log.
    bool continues_leadership = false;
  };

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Chance(double share) { return Draw() < share; }
  bool FaultOccurs(double share) { return Chance(share * fault_rate_); }
  std::chrono::milliseconds Delay(int most) {
    return std::chrono::milliseconds(static_cast<int>(Draw() * most));
  }
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  static std::string InstanceName(int index) {
    return "front-" + std::to_string(index);
  }
  static std::string ZoneOf(int address) {
    return address % 2 == 0 ? "a" : "b";
  }
  static std::string AddressText(int address) {
    return "127.0.0.1:" + std::to_string(9000 + address);
  }
  static int AddressOf(const std::string& text) {
    return std::stoi(text.substr(text.rfind(':') + 1)) - 9000;
  }

  void Schedule(std::chrono::nanoseconds delay, std::function<void()> run) {
    events_.push_back({now_ + delay, std::move(run)});
  }

  void RunStep();

  void RunEvents();

  // Calls the coordinator if it is still of this incarnation; postpones the
  // call while the instance is suspended.
  void Deliver(int index,
               int incarnation,
               const std::function<void(GrantCoordinator&)>& deliver);

  void Start(int index);

  void StartProcess(int address, const std::string& name);

  Fleet ListProcesses() const;

  // Returns the list as the instance reads it, up to 3 s late.
  const Fleet& ListOf(int index) const;

  void InjectFaults();

  void PublishList();

  // Restores the log, sometimes some seconds after the leader lost the store or
  // was suspended, so that a later term is lost and its leader competes with
  // the former one.
  void PlanRestoration();

  // Takes the store down and brings it back with an earlier copy of the log.
  void RestoreLog();

  void ReplaceLog(BootTime copied_at);

  // Replaces the log without further faults.
  void InstallCopy(BootTime copied_at);

  // Waits for a leader to cut off.
  void PlanTakeover();

  // Cuts the leader off if `append` is the one at which that is planned.
  // Returns whether the answer to the append is lost.
  bool CutOffAtAppend(int index, const LogAppend& append);

  // Cuts the leader off from the store, and lets the successor take over.
  void CutOffLeader();

  // Waits until the successor may move keys.
  void AwaitTakeover();

  // Changes the load and the upstreams so that the successor moves keys.
  void ForceMoves();

  void LoseTakeover();

  // Returns how a call of the successor ends that does not reach its upstream.
  std::optional<KeyCallResult> ResultIfUnreachable(int index,
                                                   int address) const;

  // Returns the log as it was at `time`.
  std::vector<StoredRecord> LogAt(BootTime time) const;

  bool IsStoreDown() const { return now_ < store_down_until_; }

  // Ends the faults and checks that all keys are served again.
  void Recover();

  void EndFaults();

  bool IsRunning(int index) const;

  // Stops an instance, which starts again under its name.
  void Stop(int index, bool planned);

  // Ends a process. Another one starts at its address: of the same name, of
  // another one, or of another service.
  void EndProcess(int address);

  void Step(int index);

  void ReadOrRequest(int index);

  void ReadEnds(int index,
                const std::function<void(GrantCoordinator&)>& deliver);

  // Reads a page with the newest table and one with the newest term.
  void ReadNewest(int index);

  void AddNewest(const std::string& key,
                 std::vector<GrantCoordinator::LogEntry>& records) const;

  void SendUpdates(int index);

  // Datagrams are lost, repeated and late.
  void SendUpdate(int from, int to, const TableUpdate& update);

  // Tells the other instances where the last change of the log is.
  void SendLastChange(int index);

  // Reports the load on a few keys, and upstreams that answered for others.
  void Report(int index);

  void Append(int index, const LogAppend& append);

  void EndAppend(int index,
                 int incarnation,
                 LogAppendResult result,
                 BootTime sent_at);

  // Returns the result of an append that is not sent: its epoch is known to
  // have ended, or the store is down.
  std::optional<LogAppendResult> ResultBeforeSending(const LogAppend& append);

  LogAppendResult ExecuteAppend(const LogAppend& append);

  // Notes the state of the log after each record.
  void AddRecord(const GrantLogRecord& record, std::uint64_t epoch);

  void SendNextGrant(int index, const std::string& upstream);

  void EndCall(int index,
               int incarnation,
               const KeyCall& call,
               KeyCallResult result,
               const std::function<void()>& on_done);

  // Returns when a message that is sent now arrives behind the link to `zone`,
  // which keeps the order of messages.
  BootTime ArrivalTime(const std::string& zone);

  void Send(int index,
            const KeyCall& call,
            const std::function<void()>& on_done);

  void Arrive(int address,
              const KeyCall& call,
              bool loses_response,
              const std::function<void(KeyCallResult)>& answer);

  // Lets the upstreams begin requests.
  void Work();

  void Fail(const std::string& what, KeyNumber key);

  // Checks the token and that no other upstream is at work.
  void CheckGrant(int address, const KeyCall& call);

  void CheckOwners();

  // Checks that each instance has the state of the log at its position.
  void CheckTables();

  void CheckTable(int index, const State& state);

  // Notes the epoch of an instance and whether it is the leader.
  void UpdateLeadership(Instance& instance);

  // Returns a sampled key whose assignment differs from that in `table`.
  static std::optional<KeyNumber> FindDifference(
      const GrantCoordinator& coordinator,
      const KeyTable& table);

  // Whether the log of an earlier epoch had the table of `coordinator`.
  bool HasFormerTable(const GrantCoordinator& coordinator,
                      std::uint64_t epoch) const;

  std::mt19937 random_;
  const Options options_;
  double fault_rate_ = 1;
  BootTime now_{std::chrono::seconds(100)};
  RouterConfiguration configuration_;
  std::array<SimulatedUpstream, kAddresses> processes_;
  // Upstreams that are running but not listed.
  std::set<std::string> unlisted_;
  std::vector<std::pair<BootTime, Fleet>> lists_;
  BootTime next_list_{};
  std::array<Instance, kInstances> instances_;
  int preferred_ = 0;
  int next_name_ = 0;
  int next_start_ = 1;
  KeyNumber hot_ = 20000;
  std::vector<StoredRecord> log_;
  std::uint64_t epoch_ = 0;
  std::vector<FormerLog> former_logs_;
  // By epoch, then by offset.
  std::vector<std::vector<State>> states_{std::vector<State>(1)};
  std::uint64_t first_retained_ = 0;
  BootTime store_down_until_{};
  bool recovers_ = false;
  std::optional<Takeover> takeover_;
  std::vector<Event> events_;
  std::map<std::string, Link> links_;
  std::array<LastGrant, kSampledKeys.size()> last_grants_{};
  std::array<BootTime, kSampledKeys.size()> last_served_{};
  std::string violation_;
  std::int64_t served_ = 0;
  std::int64_t steps_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_RELAY_SIMULATION_H_
