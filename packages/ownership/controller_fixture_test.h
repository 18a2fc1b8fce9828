// ControllerFixture: runs several Controllers with a simulated log, network and
// clock.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_FIXTURE_TEST_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_FIXTURE_TEST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ownership/controller.h"
#include "ownership/log_record.h"
#include "ownership/ownership_table.h"

namespace pollenrudder {

// Messages have a fixed delay. The log can be unavailable, or drop answers, for
// all instances or for one. Instances can be disconnected from the log and from
// each other. Every step checks that no upstream has two senders and no shard
// two owners; violations() returns the failures.
//
//   ControllerFixture fixture;
//   fixture.AddInstance("a1", "a");
//   fixture.AddUpstream("u1", "geodata", "a");
//   fixture.Publish("ground", kSection);
//   fixture.Run(3s);
//   REQUIRE(fixture.Sender("u1") == "a1.1");
class ControllerFixture {
 public:
  static constexpr std::chrono::milliseconds kStep{5};
  static constexpr std::chrono::milliseconds kMessageDelay{2};

  ControllerFixture();
  ~ControllerFixture();

  // Starts the instance "<name>.1", adds it to the instance list, and returns
  // its full name. `clock_rate` is the rate of its clock relative to simulated
  // time.
  std::string AddInstance(const std::string& name,
                          const std::string& zone,
                          double clock_rate = 1.0,
                          const std::string& region = "r");
  void AddUpstream(const std::string& name,
                   const std::string& service,
                   const std::string& zone,
                   const std::string& region = "r");
  void RemoveUpstream(const std::string& name);
  void SetLeaving(const std::string& name, bool leaving);

  // Appends a section that replaces the current one, or the one at `previous`.
  LogOffset Publish(const std::string& team, const std::string& text);
  LogOffset Publish(const std::string& team,
                    const std::string& text,
                    LogOffset previous);
  LogOffset AppendRaw(const std::string& data);

  void Run(std::chrono::nanoseconds duration);
  // Runs until the condition holds. Returns false if it does not within
  // `limit`.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::nanoseconds limit);
  void Input(const std::string& instance, const ControllerInput& input);

  // Ends an instance. It disappears from the instance list after `list_lag`.
  void Kill(const std::string& instance,
            std::chrono::nanoseconds list_lag = std::chrono::seconds(5));
  // A paused instance handles no input, but its leases remain valid until they
  // expire.
  void Pause(const std::string& instance);
  void Resume(const std::string& instance);
  void SetLogDown(bool down) { log_down_ = down; }
  // Disconnects the instance from the log, or connects it again.
  void CutLog(const std::string& instance, bool cut);
  // Blocks the messages between two instances in both directions.
  void CutPeers(const std::string& one, const std::string& other, bool cut);
  // The next `count` appends of the instance take effect but are not answered.
  void LoseAppendAnswers(const std::string& instance, int count);
  // The next `count` appends of the instance are dropped before they take
  // effect.
  void LoseAppends(const std::string& instance, int count);
  // Drops the oldest records, like the retention of the log.
  void DropRecordsBefore(LogOffset offset);
  // While blocked, drains of the upstream do not finish.
  void BlockDrains(const std::string& upstream, bool blocked);
  void Observe(const std::string& upstream,
               UpstreamObserved::State state,
               const std::vector<std::uint64_t>& fingerprints = {});

  // Returns the instance that may send to the upstream now, or "".
  std::string Sender(const std::string& upstream) const;
  // Whether requests for the shard are served now.
  bool IsServed(const std::string& service, std::uint32_t shard) const;
  // Whether every shard of the service is served.
  bool AllServed(const std::string& service) const;

  // The table after all records of the log.
  const OwnershipTable& Table() const;
  const std::vector<std::string>& log() const { return log_; }
  // Returns the records of one type on the log, decoded.
  template <typename Body>
  std::vector<Body> Records() const {
    std::vector<Body> records;
    for (const std::string& data : log_) {
      const Result<LogRecord> record = DecodeLogRecord(data);
      if (!record)
        continue;
      if (const Body* body = std::get_if<Body>(&record.value().body))
        records.push_back(*body);
    }
    return records;
  }
  Controller& controller(const std::string& instance);
  RoutingTablePointer routing(const std::string& instance) const;
  // Returns the actions of one type of an instance, oldest first.
  template <typename Action>
  std::vector<Action> Actions(const std::string& instance) const {
    std::vector<Action> found;
    for (const ControllerAction& action : history_.at(instance)) {
      if (const Action* wanted = std::get_if<Action>(&action))
        found.push_back(*wanted);
    }
    return found;
  }
  // A log line, with the time and the instance that wrote it.
  struct LogLine {
    std::chrono::nanoseconds at{0};
    std::string instance;
    EmitLogEvent line;
  };
  const std::vector<LogLine>& log_lines() const { return log_lines_; }
  // Returns all actions of an instance, oldest first.
  const std::vector<ControllerAction>& History(
      const std::string& instance) const {
    return history_.at(instance);
  }
  std::vector<std::string> EventNames(const std::string& instance) const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::chrono::nanoseconds elapsed() const { return elapsed_; }
  Now TimeOf(const std::string& instance) const;

 private:
  struct Instance;
  struct Drain;

  void Step();
  void Schedule(std::chrono::nanoseconds delay, std::function<void()> work);
  void Handle(const std::string& name, const ControllerInput& input);
  void Execute(const std::string& name, const ControllerAction& action);
  void SendAppend(const std::string& name, const AppendRecord& append);
  void SendPromise(const std::string& name, const SendPromiseRequest& request);
  void SendRead(const std::string& name, LogOffset from, bool wait);
  void AnswerRead(const std::string& name,
                  LogOffset from,
                  BootTime proof_time,
                  std::chrono::nanoseconds deadline,
                  bool wait);
  void FailRead(const std::string& name, bool wait);
  // Runs the work now, or when the paused instance resumes.
  void WhenRunning(const std::string& name, std::function<void()> work);
  void ListInstances();
  bool CanReachLog(const std::string& instance) const;
  bool ArePeersCut(const std::string& one, const std::string& other) const;
  bool MaySend(const Instance& instance, const std::string& upstream) const;
  bool IsShardOpen(const Instance& instance,
                   const RoutingTable& table,
                   const RoutedService& service,
                   std::uint32_t shard) const;
  void CheckSafety();

  std::chrono::nanoseconds elapsed_{0};
  std::multimap<std::chrono::nanoseconds, std::function<void()>> queue_;
  std::map<std::string, std::unique_ptr<Instance>> instances_;
  std::map<std::string, std::vector<ControllerAction>> history_;
  std::vector<LogLine> log_lines_;
  std::vector<ListedInstance> listed_;
  std::vector<std::string> log_;
  // Replays `log_`, as far as required by the last call of Table().
  mutable OwnershipTable table_{LeaseDurations{}};
  LogOffset first_retained_ = 1;
  bool log_down_ = false;
  std::set<std::pair<std::string, std::string>> peer_cuts_;
  std::set<std::string> blocked_drains_;
  std::set<std::string> lost_;
  std::uint64_t next_call_id_ = 1;
  std::map<std::uint64_t, std::function<void(const SendPromiseResponse&)>>
      promise_calls_;
  std::vector<std::string> violations_;
};

// Returns a section with one sharded service. `more` is appended to it.
std::string ShardedSection(const std::string& team,
                           const std::string& service,
                           std::uint32_t shards,
                           const std::string& more = {});

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_FIXTURE_TEST_H_
