// RelaySimulation: faults, the processes, and how instances learn the state of
// the log. relay_simulation_calls.cc has appends, key calls and the checks,
// relay_simulation_restore.cc the replacements of the log,
// relay_simulation_takeover.cc the ones that lose the term of a second leader.

#include "grants/relay_simulation.h"

#include <algorithm>
#include <iterator>

#include "base/log_position.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kTimeStep{20};
constexpr milliseconds kDuration{30000};

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

}  // namespace

RelaySimulation::RelaySimulation(std::uint32_t seed)
    : RelaySimulation(seed, Options()) {}

RelaySimulation::RelaySimulation(std::uint32_t seed, Options options)
    : random_(seed), options_(options) {
  configuration_.services["geodata"].owns_keys = true;
  for (int address = 0; address < kAddresses; ++address) {
    processes_[address].clock_slowdown = 1 + 0.02 * Draw();
    StartProcess(address, "u" + std::to_string(next_name_++));
  }
  lists_.emplace_back(now_, ListProcesses());
  for (int index = 0; index < kInstances; ++index)
    Start(index);
  if (options_.restores_log) {
    // With few other faults, most leaders are still leaders when the log is
    // back.
    if (Chance(0.5))
      fault_rate_ = 0.2;
    Schedule(2s + Delay(22000), [this] { PlanRestoration(); });
  }
  if (options_.loses_takeover) {
    fault_rate_ = Chance(0.7) ? 0 : 0.1;
    const bool is_early = Chance(0.1);
    if (is_early) {
      for (const SimulatedUpstream& process : processes_)
        unlisted_.insert(process.name);
    }
    Schedule(is_early ? 0ms : 2s + Delay(4000), [this] { PlanTakeover(); });
  }
}

std::string RelaySimulation::Run() {
  for (milliseconds time{0}; time < kDuration && violation_.empty();
       time += kTimeStep) {
    now_ = At(time);
    InjectFaults();
    RunStep();
    ++steps_;
  }
  if ((options_.restores_log || options_.loses_takeover) && violation_.empty())
    Recover();
  return violation_;
}

void RelaySimulation::RunStep() {
  PublishList();
  RunEvents();
  for (int index = 0; index < kInstances; ++index)
    Step(index);
  Work();
  CheckOwners();
  CheckTables();
}

double RelaySimulation::served_share() const {
  return static_cast<double>(served_) /
         (static_cast<double>(steps_) *
          static_cast<double>(kSampledKeys.size()));
}

void RelaySimulation::RunEvents() {
  for (std::size_t index = 0; index < events_.size();) {
    if (events_[index].at > now_) {
      ++index;
      continue;
    }
    const auto run = std::move(events_[index].run);
    events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(index));
    run();
  }
}

void RelaySimulation::Deliver(
    int index,
    int incarnation,
    const std::function<void(GrantCoordinator&)>& deliver) {
  Instance& instance = instances_[index];
  if (instance.incarnation != incarnation || now_ < instance.down_until)
    return;
  if (now_ < instance.suspended_until) {
    events_.push_back({instance.suspended_until,
                       [=, this] { Deliver(index, incarnation, deliver); }});
    return;
  }
  deliver(*instance.coordinator);
  SendUpdates(index);
}

void RelaySimulation::Start(int index) {
  Instance& instance = instances_[index];
  const int incarnation = instance.incarnation + 1;
  const BootTime down_until = instance.down_until;
  instance = Instance();
  instance.incarnation = incarnation;
  instance.down_until = down_until;
  GrantCoordinator::Options options;
  options.instance = InstanceName(index);
  options.incarnation = options.instance + '-' + std::to_string(incarnation);
  instance.coordinator = std::make_unique<GrantCoordinator>(options);
  instance.coordinator->set_collects_updates(index >= kFirstRelay);
  instance.coordinator->OnFleet(lists_.back().second, configuration_, now_);
  ReadNewest(index);
}

void RelaySimulation::StartProcess(int address, const std::string& name) {
  SimulatedUpstream& process = processes_[address];
  const double slowdown = process.clock_slowdown;
  process = SimulatedUpstream();
  process.clock_slowdown = slowdown;
  process.name = name;
  process.started_at = milliseconds(next_start_++);
  process.alive = true;
}

Fleet RelaySimulation::ListProcesses() const {
  Fleet fleet;
  for (int address = 0; address < kAddresses; ++address) {
    const SimulatedUpstream& process = processes_[address];
    if (!process.alive || process.name.starts_with("other") ||
        unlisted_.contains(process.name))
      continue;
    ListedUpstream entry;
    entry.name = process.name;
    entry.service = "geodata";
    entry.address = AddressText(address);
    entry.zone = ZoneOf(address);
    entry.slots = 2;
    entry.started_at = process.started_at;
    fleet.Apply({entry.name, entry}, now_);
  }
  return fleet;
}

const Fleet& RelaySimulation::ListOf(int index) const {
  std::size_t at = lists_.size() - 1;
  while (at > 0 && lists_[at].first > now_ - instances_[index].list_lag)
    --at;
  return lists_[at].second;
}

void RelaySimulation::InjectFaults() {
  Instance& instance = instances_[Pick(kInstances)];
  if (FaultOccurs(0.004))
    instance.disconnected_until = now_ + Delay(10000);
  if (FaultOccurs(0.003))
    instance.suspended_until = now_ + Delay(8000);
  if (FaultOccurs(0.006))
    instance.isolated_until = now_ + Delay(6000);
  if (FaultOccurs(0.02))
    instance.list_lag = Chance(0.5) ? 0ms : Delay(3000);
  if (FaultOccurs(0.003))
    Stop(Pick(kInstances), Chance(0.5));
  if (FaultOccurs(0.0005)) {
    for (int index = 0; index < kInstances; ++index)
      Stop(index, /*planned=*/false);
  }
  if (FaultOccurs(0.002)) {
    Link& link = links_[Chance(0.5) ? "a" : "b"];
    link.full_until = now_ + Delay(8000);
    link.queue = Delay(4000);
  }
  if (FaultOccurs(0.004))
    preferred_ = Pick(kInstances);
  if (FaultOccurs(0.006)) {
    const std::string successor = InstanceName(Pick(kInstances));
    for (int index = 0; index < kInstances; ++index) {
      if (IsRunning(index))
        instances_[index].coordinator->TransferLeadership(successor, now_);
    }
  }
  if (FaultOccurs(0.003))
    first_retained_ =
        log_.size() -
        std::min<std::size_t>(log_.size(), static_cast<std::size_t>(Pick(4)));
  if (FaultOccurs(0.01))
    hot_ = static_cast<KeyNumber>(20000 + Pick(3) * 13000);
  if (FaultOccurs(0.006))
    EndProcess(Pick(kAddresses));
  if (FaultOccurs(0.004)) {
    const std::string name = processes_[Pick(kAddresses)].name;
    if (unlisted_.erase(name) == 0)
      unlisted_.insert(name);
  }
  if (options_.restores_log && FaultOccurs(0.0008))
    PlanRestoration();
}

void RelaySimulation::PublishList() {
  if (now_ < next_list_)
    return;
  next_list_ = now_ + 200ms;
  lists_.emplace_back(now_, ListProcesses());
}

bool RelaySimulation::IsRunning(int index) const {
  const Instance& instance = instances_[index];
  return now_ >= instance.suspended_until && now_ >= instance.down_until;
}

void RelaySimulation::Stop(int index, bool planned) {
  Instance& instance = instances_[index];
  if (now_ < instance.down_until)
    return;
  if (planned) {
    if (instance.stopped_at == BootTime{}) {
      instance.coordinator->Stop(Chance(0.5) ? InstanceName(Pick(kInstances))
                                             : std::string());
      instance.stopped_at = now_;
    }
    return;
  }
  ++instance.incarnation;
  instance.down_until = now_ + Delay(2000);
  const int incarnation = instance.incarnation;
  events_.push_back({instance.down_until, [=, this] {
                       if (instances_[index].incarnation == incarnation)
                         Start(index);
                     }});
}

void RelaySimulation::EndProcess(int address) {
  SimulatedUpstream& process = processes_[address];
  if (!process.alive)
    return;
  process.alive = false;
  const milliseconds started_at = process.started_at;
  Schedule(Delay(3000), [=, this] {
    SimulatedUpstream& former = processes_[address];
    if (former.alive || former.started_at != started_at)
      return;
    if (Chance(0.2))
      StartProcess(address, "other" + std::to_string(next_name_++));
    else if (Chance(0.3) && !former.name.starts_with("other"))
      StartProcess(address, former.name);
    else
      StartProcess(address, "u" + std::to_string(next_name_++));
  });
}

void RelaySimulation::Step(int index) {
  Instance& instance = instances_[index];
  if (!IsRunning(index))
    return;
  GrantCoordinator& coordinator = *instance.coordinator;
  if (instance.stopped_at != BootTime{} &&
      (coordinator.IsStopped() || now_ >= instance.stopped_at + 3s)) {
    Stop(index, /*planned=*/false);
    return;
  }
  if (Chance(0.1))
    coordinator.OnFleet(ListOf(index), configuration_, now_);
  Report(index);
  if ((options_.restores_log || options_.loses_takeover) && Chance(0.02))
    SendLastChange(index);
  if (now_ >= instance.disconnected_until && !IsStoreDown() &&
      !instance.reading &&
      (now_ >= instance.next_read || coordinator.NeedsLog()))
    ReadOrRequest(index);
  const GrantActions actions = coordinator.Poll(now_);
  if (actions.append)
    Append(index, *actions.append);
  for (const KeyCall& call : actions.calls) {
    if (call.kind == KeyCall::Kind::kRelease) {
      Send(index, call, [] {});
      continue;
    }
    instance.queues[call.upstream.name].calls.push_back(call);
    SendNextGrant(index, call.upstream.name);
  }
  SendUpdates(index);
}

void RelaySimulation::ReadOrRequest(int index) {
  Instance& instance = instances_[index];
  const GrantCoordinator& coordinator = *instance.coordinator;
  if (coordinator.NeedsOnlyUpdates() && Chance(0.5)) {
    const int other = Pick(kInstances);
    for (const TableUpdate& update : instances_[other].sent_updates) {
      if (update.offset >= coordinator.next_offset())
        SendUpdate(other, index, update);
    }
    instance.next_read = now_ + 200ms;
    return;
  }
  const bool is_active =
      coordinator.IsLeader() || coordinator.IsPreferredLeader();
  instance.next_read = now_ + (is_active || preferred_ == index
                                   ? 700ms
                                   : milliseconds(2000 + Pick(6000)));
  if (preferred_ == index || Chance(0.2)) {
    const BootTime sent_at = now_;
    const bool is_preferred = preferred_ == index;
    const int incarnation = instance.incarnation;
    Schedule(Delay(300), [=, this] {
      Deliver(index, incarnation, [=, this](GrantCoordinator& target) {
        target.OnPreferredLeader(is_preferred, sent_at, now_);
      });
    });
  }
  const bool in_order =
      is_active || (coordinator.NeedsLog() && !coordinator.NeedsOnlyUpdates());
  const std::uint64_t from = coordinator.next_offset();
  if (!in_order || LogEpochOf(from) != epoch_ ||
      LogOffsetOf(from) < first_retained_) {
    ReadNewest(index);
    return;
  }
  // A response contains only some of the records if there are many.
  const std::uint64_t end = std::min<std::uint64_t>(
      log_.size(),
      LogOffsetOf(from) +
          (Chance(0.5) ? static_cast<std::uint64_t>(1 + Pick(4)) : 1000));
  std::vector<GrantCoordinator::LogEntry> records;
  for (std::uint64_t offset = LogOffsetOf(from); offset < end; ++offset) {
    if (log_[offset].epoch == epoch_)
      records.push_back({MakeLogPosition(epoch_, offset), log_[offset].record});
  }
  const BootTime sent_at = now_;
  const std::uint64_t position = MakeLogPosition(epoch_, end);
  ReadEnds(index, [=, this](GrantCoordinator& target) {
    target.OnLogRecords(records, position, sent_at, now_);
  });
}

void RelaySimulation::ReadEnds(
    int index,
    const std::function<void(GrantCoordinator&)>& deliver) {
  const int incarnation = instances_[index].incarnation;
  instances_[index].reading = true;
  const bool is_lost = FaultOccurs(0.05);
  Schedule(Chance(0.1) ? Delay(700) : Delay(60), [=, this] {
    Deliver(index, incarnation, [=, this](GrantCoordinator& target) {
      instances_[index].reading = false;
      if (!is_lost)
        deliver(target);
    });
  });
}

void RelaySimulation::ReadNewest(int index) {
  if (IsStoreDown())
    return;
  const int incarnation = instances_[index].incarnation;
  instances_[index].reading = true;
  const std::uint64_t end = MakeLogPosition(epoch_, log_.size());
  std::vector<GrantCoordinator::LogEntry> records;
  AddNewest("keys/geodata", records);
  Schedule(Chance(0.3) ? Delay(100) : 0ms, [=, this]() mutable {
    if (instances_[index].incarnation != incarnation)
      return;
    if (IsStoreDown() || LogEpochOf(end) != epoch_) {
      instances_[index].reading = false;
      return;
    }
    AddNewest("term", records);
    ReadEnds(index, [=, this](GrantCoordinator& target) {
      target.OnNewestRecords(records, end, now_);
    });
  });
}

void RelaySimulation::AddNewest(
    const std::string& key,
    std::vector<GrantCoordinator::LogEntry>& records) const {
  for (std::size_t offset = log_.size(); offset > 0; --offset) {
    const StoredRecord& stored = log_[offset - 1];
    if (stored.epoch != epoch_ || stored.record.key != key)
      continue;
    records.push_back({MakeLogPosition(epoch_, offset - 1), stored.record});
    return;
  }
}

void RelaySimulation::SendUpdates(int index) {
  Instance& instance = instances_[index];
  for (const TableUpdate& update : instance.coordinator->TakeUpdates()) {
    instance.sent_updates.push_back(update);
    if (instance.sent_updates.size() > 32)
      instance.sent_updates.pop_front();
    for (int other = 0; other < kInstances; ++other) {
      if (other != index)
        SendUpdate(index, other, update);
    }
  }
}

void RelaySimulation::SendUpdate(int from, int to, const TableUpdate& update) {
  if (now_ < instances_[from].isolated_until)
    return;
  const auto received = ParseTableUpdate(EncodeTableUpdate(update));
  for (int copy = Chance(0.1) ? 2 : 1; copy > 0; --copy) {
    if (Chance(0.25))
      continue;
    const int incarnation = instances_[to].incarnation;
    Schedule(Chance(0.1) ? Delay(2000) : Delay(40), [=, this] {
      if (now_ < instances_[to].isolated_until)
        return;
      Deliver(to, incarnation, [=, this](GrantCoordinator& target) {
        (void)target.OnTableUpdate(*received, now_);
      });
    });
  }
}

}  // namespace pollenrudder
