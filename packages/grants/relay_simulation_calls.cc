// RelaySimulation: load reports, appends, key calls and the checks.

#include <algorithm>
#include <iterator>
#include <variant>

#include "base/log_position.h"
#include "grants/relay_simulation.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

}  // namespace

void RelaySimulation::Report(int index) {
  Instance& instance = instances_[index];
  if (!Chance(0.1))
    return;
  const auto& fleet = ListOf(index).upstreams();
  if (!fleet.empty()) {
    const auto at =
        std::next(fleet.begin(), Pick(static_cast<int>(fleet.size())));
    const ListedUpstream& entry = at->second;
    const SimulatedUpstream& process = processes_[AddressOf(entry.address)];
    if (process.alive && process.name != entry.name)
      instance.replaced.push_back({{entry.name, entry.started_at}, now_ + 15s});
  }
  std::erase_if(instance.replaced,
                [this](const auto& item) { return now_ >= item.second; });
  LoadReport report;
  report.instance = InstanceName(index);
  ServiceLoad& load = report.services["geodata"];
  for (int key = 0; key < 16; ++key)
    load.keys.push_back(static_cast<KeyNumber>(hot_ + key));
  for (const auto& [name, entry] : fleet)
    load.upstreams[name] = {6, 2};
  for (const auto& [incarnation, until] : instance.replaced)
    load.replaced.push_back(incarnation);
  for (int leader = 0; leader < kInstances; ++leader) {
    if (Chance(0.2))
      continue;
    const int incarnation = instances_[leader].incarnation;
    Schedule(Chance(0.1) ? Delay(2000) : Delay(40), [=, this] {
      Deliver(leader, incarnation, [=, this](GrantCoordinator& target) {
        target.OnLoadReport(report, now_);
      });
    });
  }
}

void RelaySimulation::Append(int index, const LogAppend& append) {
  const int incarnation = instances_[index].incarnation;
  const BootTime sent_at = now_;
  if (const auto result = ResultBeforeSending(append)) {
    Schedule(Delay(50),
             [=, this] { EndAppend(index, incarnation, *result, sent_at); });
    return;
  }
  if (CutOffAtAppend(index, append)) {
    Schedule(Delay(50), [=, this] { (void)ExecuteAppend(append); });
    Schedule(700ms, [=, this] {
      EndAppend(index, incarnation, LogAppendResult::kUnknown, sent_at);
    });
    return;
  }
  const bool is_unanswered =
      FaultOccurs(0.15) || now_ < instances_[index].disconnected_until;
  const auto run = [=, this] {
    const LogAppendResult result = ExecuteAppend(append);
    if (is_unanswered)
      return;
    Schedule(Delay(50),
             [=, this] { EndAppend(index, incarnation, result, sent_at); });
  };
  // An append without a response may take effect seconds later.
  if (!is_unanswered || Chance(0.5))
    Schedule(is_unanswered ? Delay(6000) : Delay(50), run);
  if (is_unanswered) {
    Schedule(700ms, [=, this] {
      EndAppend(index, incarnation, LogAppendResult::kUnknown, sent_at);
    });
  }
}

void RelaySimulation::EndAppend(int index,
                                int incarnation,
                                LogAppendResult result,
                                BootTime sent_at) {
  Deliver(index, incarnation, [=, this](GrantCoordinator& coordinator) {
    coordinator.OnAppendEnded(result, sent_at, now_);
  });
}

std::optional<LogAppendResult> RelaySimulation::ResultBeforeSending(
    const LogAppend& append) {
  if (LogEpochOf(append.at) != epoch_ && Chance(0.7))
    return LogAppendResult::kConflict;
  if (IsStoreDown() && Chance(0.5))
    return LogAppendResult::kRejected;
  return std::nullopt;
}

LogAppendResult RelaySimulation::ExecuteAppend(const LogAppend& append) {
  if (IsStoreDown()) {
    if (Chance(0.3)) {
      Schedule(store_down_until_ - now_ + Delay(2000),
               [=, this] { (void)ExecuteAppend(append); });
    }
    return LogAppendResult::kUnknown;
  }
  // The condition compares only the offset, so an append of a former epoch may
  // be executed in the log that replaced the one it was meant for.
  const std::uint64_t epoch = LogEpochOf(append.at);
  const bool is_at_end = LogOffsetOf(append.at) == log_.size();
  if (is_at_end) {
    for (const GrantLogRecord& record : append.records)
      AddRecord(record, epoch);
  }
  if (epoch != epoch_ && Chance(0.5))
    return LogAppendResult::kUnknown;
  return is_at_end && epoch == epoch_ ? LogAppendResult::kDone
                                      : LogAppendResult::kConflict;
}

void RelaySimulation::AddRecord(const GrantLogRecord& record,
                                std::uint64_t epoch) {
  log_.push_back({record, epoch, now_});
  std::vector<State>& states = states_[epoch_];
  State state = states.back();
  if (epoch == epoch_) {
    const auto parsed = ParseGrantLogRecord(record);
    if (const auto* table = std::get_if<TableRecord>(&parsed.value())) {
      state.table = table->table;
      state.has_table = true;
    } else {
      state.term = std::get<GrantTermRecord>(parsed.value());
    }
  }
  states.push_back(std::move(state));
}

void RelaySimulation::SendNextGrant(int index, const std::string& upstream) {
  Queue& queue = instances_[index].queues[upstream];
  if (queue.in_progress || queue.calls.empty())
    return;
  const KeyCall call = queue.calls.front();
  queue.calls.pop_front();
  queue.in_progress = true;
  Send(index, call, [=, this] {
    instances_[index].queues[upstream].in_progress = false;
    SendNextGrant(index, upstream);
  });
}

void RelaySimulation::EndCall(int index,
                              int incarnation,
                              const KeyCall& call,
                              KeyCallResult result,
                              const std::function<void()>& on_done) {
  Deliver(index, incarnation, [=, this](GrantCoordinator& coordinator) {
    coordinator.OnCallEnded(call.id, result, "", now_);
    on_done();
  });
}

BootTime RelaySimulation::ArrivalTime(const std::string& zone) {
  Link& link = links_[zone];
  link.last_arrival =
      std::max(link.last_arrival,
               now_ + Delay(30) + (now_ < link.full_until ? link.queue : 0ms));
  return link.last_arrival;
}

void RelaySimulation::Send(int index,
                           const KeyCall& call,
                           const std::function<void()>& on_done) {
  const int incarnation = instances_[index].incarnation;
  const int address = AddressOf(call.address);
  const auto end = [=, this](KeyCallResult result) {
    EndCall(index, incarnation, call, result, on_done);
  };
  const bool is_grant = call.kind == KeyCall::Kind::kGrant;
  const BootTime timeout = now_ + (is_grant ? 800ms : 4000ms);
  const SimulatedUpstream& called = processes_[address];
  if (now_ >= call.valid_until || (!called.alive && Chance(0.5))) {
    Schedule(20ms, [=] { end(KeyCallResult::kUnreachable); });
    return;
  }
  if (const auto result = ResultIfUnreachable(index, address)) {
    events_.push_back(
        {*result == KeyCallResult::kUnreachable ? now_ + 20ms : timeout,
         [=] { end(*result); }});
    return;
  }
  // Shared by the events of the call: whether it has ended for the caller.
  const auto ended = std::make_shared<bool>(false);
  const auto answer = [=](KeyCallResult result) {
    if (!std::exchange(*ended, true))
      end(result);
  };
  events_.push_back({timeout, [=] { answer(KeyCallResult::kUnknown); }});
  if (!called.alive)
    return;
  // A packet that is lost and sent again arrives after later ones, unless the
  // caller has reset the connection by then.
  const bool is_resent = FaultOccurs(0.03);
  BootTime arrives_at = ArrivalTime(ZoneOf(address));
  if (is_resent)
    arrives_at += 200ms + Delay(1500);
  const milliseconds started_at = called.started_at;
  const bool loses_response = FaultOccurs(0.1);
  events_.push_back({arrives_at, [=, this] {
                       if (is_resent && *ended)
                         return;
                       SimulatedUpstream& process = processes_[address];
                       if (!process.alive || process.started_at != started_at)
                         answer(KeyCallResult::kUnknown);
                       else if (process.name != call.upstream.name)
                         answer(KeyCallResult::kReplaced);
                       else
                         Arrive(address, call, loses_response, answer);
                     }});
}

void RelaySimulation::Arrive(int address,
                             const KeyCall& call,
                             bool loses_response,
                             const std::function<void(KeyCallResult)>& answer) {
  SimulatedUpstream& process = processes_[address];
  const milliseconds started_at = process.started_at;
  if (call.kind == KeyCall::Kind::kRelease) {
    const BootTime end = process.Release(call.keys, now_);
    events_.push_back(
        {end + Delay(30), [=, this] {
           const SimulatedUpstream& known = processes_[address];
           const bool is_same = known.alive && known.started_at == started_at;
           answer(is_same && !loses_response ? KeyCallResult::kDone
                                             : KeyCallResult::kUnknown);
         }});
    return;
  }
  // A grant without a response may be applied later; its time counts from its
  // arrival.
  const BootTime arrived = now_;
  const bool is_late = loses_response && Chance(0.5);
  if (loses_response && Chance(0.5))
    Schedule(20ms, [=] { answer(KeyCallResult::kUnknown); });
  Schedule(is_late ? 2000ms + Delay(10000) : Delay(20), [=, this] {
    SimulatedUpstream& known = processes_[address];
    if (!known.alive || known.started_at != started_at)
      return;
    const bool accepted = known.AcceptGrant(call, arrived);
    if (accepted)
      CheckGrant(address, call);
    if (!loses_response)
      Schedule(Delay(20), [=] {
        answer(accepted ? KeyCallResult::kDone : KeyCallResult::kFenced);
      });
  });
}

void RelaySimulation::Work() {
  for (SimulatedUpstream& process : processes_) {
    std::erase_if(process.work,
                  [this](const auto& item) { return now_ >= item.end; });
    std::erase_if(process.grants,
                  [this](const auto& grant) { return now_ >= grant.until; });
    for (const KeyNumber key : kSampledKeys) {
      const BootTime until = process.HeldUntil(key);
      // A request that outlasts the grant ends with it.
      if (now_ < until && Chance(0.02))
        process.work.push_back({key, std::min(until, now_ + Delay(1500))});
    }
  }
}

void RelaySimulation::Fail(const std::string& what, KeyNumber key) {
  violation_ = what + " of key " + std::to_string(key) + " at " +
               std::to_string((now_ - At(0ms)) / 1ms) + " ms";
}

void RelaySimulation::CheckGrant(int address, const KeyCall& call) {
  for (std::size_t index = 0; index < kSampledKeys.size(); ++index) {
    const KeyNumber key = kSampledKeys[index];
    const SimulatedUpstream& process = processes_[address];
    if (!call.keys.Contains(key) || now_ >= process.HeldUntil(key))
      continue;
    LastGrant& last = last_grants_[index];
    if (last.upstream != process.name && call.token <= last.token)
      Fail("token", key);
    if (call.token >= last.token)
      last = {process.name, call.token};
    for (const SimulatedUpstream& other : processes_) {
      if (&other == &process || !other.alive)
        continue;
      for (const auto& item : other.work) {
        if (item.key == key && now_ < item.end)
          Fail("work", key);
      }
    }
  }
}

void RelaySimulation::CheckOwners() {
  for (std::size_t index = 0; index < kSampledKeys.size(); ++index) {
    const KeyNumber key = kSampledKeys[index];
    const auto owners = std::ranges::count_if(
        processes_, [&](const SimulatedUpstream& process) {
          return now_ < process.HeldUntil(key);
        });
    if (owners > 1)
      Fail("two owners", key);
    if (owners == 0)
      continue;
    last_served_[index] = now_;
    served_ += recovers_ ? 0 : 1;
  }
}

void RelaySimulation::CheckTables() {
  for (int index = 0; index < kInstances; ++index) {
    UpdateLeadership(instances_[index]);
    const GrantCoordinator& coordinator = *instances_[index].coordinator;
    const std::uint64_t epoch = instances_[index].epoch;
    const std::uint64_t offset = LogOffsetOf(coordinator.next_offset());
    if (epoch >= states_.size() || offset >= states_[epoch].size()) {
      Fail("position of " + InstanceName(index), 0);
      continue;
    }
    const State& state = states_[epoch][offset];
    CheckTable(index, state);
    const auto& term = coordinator.term();
    if (term.has_value() != state.term.has_value() ||
        (term && (term->incarnation != state.term->incarnation ||
                  term->resigned != state.term->resigned)))
      Fail("term of " + InstanceName(index), 0);
  }
}

void RelaySimulation::UpdateLeadership(Instance& instance) {
  const GrantCoordinator& coordinator = *instance.coordinator;
  const std::uint64_t epoch = LogEpochOf(coordinator.next_offset());
  if (!coordinator.IsLeader() || !instance.was_leader)
    instance.continues_leadership = false;
  else if (epoch > instance.epoch)
    instance.continues_leadership = true;
  instance.epoch = epoch;
  instance.was_leader = coordinator.IsLeader();
}

void RelaySimulation::CheckTable(int index, const State& state) {
  const Instance& instance = instances_[index];
  const auto key = FindDifference(*instance.coordinator, state.table);
  if (!key)
    return;
  // Until the log of a new epoch has a table, instances may route by a former
  // one. A new leader must not grant keys by it.
  const bool may_keep_former =
      instance.epoch > 0 && !state.has_table &&
      (!instance.was_leader || instance.continues_leadership);
  if (!may_keep_former ||
      !HasFormerTable(*instance.coordinator, instance.epoch))
    Fail("table of " + InstanceName(index), *key);
}

std::optional<KeyNumber> RelaySimulation::FindDifference(
    const GrantCoordinator& coordinator,
    const KeyTable& table) {
  const auto known_table = coordinator.tables().find("geodata");
  for (const KeyNumber key : kSampledKeys) {
    const KeyAssignment* known = known_table == coordinator.tables().end()
                                     ? nullptr
                                     : known_table->second.Find(key);
    const KeyAssignment* row = table.Find(key);
    if ((known == nullptr) != (row == nullptr) ||
        (row != nullptr &&
         (known->owner != row->owner || known->token != row->token ||
          known->moving != row->moving || known->former != row->former)))
      return key;
  }
  return std::nullopt;
}

bool RelaySimulation::HasFormerTable(const GrantCoordinator& coordinator,
                                     std::uint64_t epoch) const {
  return std::any_of(
      states_.begin(), states_.begin() + static_cast<std::ptrdiff_t>(epoch),
      [&](const std::vector<State>& states) {
        return std::ranges::any_of(states, [&](const State& state) {
          return !FindDifference(coordinator, state.table);
        });
      });
}

}  // namespace pollenrudder
