// The simulated log, network, instance list and clocks of ControllerFixture.

#include "controller_fixture_test.h"

#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>

namespace pollenrudder {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// The simulated wall clock starts at 2026-01-01T00:00:00Z.
constexpr std::chrono::seconds kWallStart{1767225600};
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kListInterval{500};
constexpr milliseconds kLongPollTimeout{1000};
constexpr milliseconds kFailureDelay{50};
constexpr std::size_t kReadLimit = 500;

std::pair<std::string, std::string> OrderedPair(const std::string& one,
                                                const std::string& other) {
  return std::minmax(one, other);
}

}  // namespace

struct ControllerFixture::Instance {
  std::unique_ptr<Controller> controller;
  std::string zone;
  std::string peer_address;
  double clock_rate = 1.0;
  bool paused = false;
  bool killed = false;
  bool log_cut = false;
  int lost_answers = 0;
  int lost_appends = 0;
  std::vector<std::function<void()>> deferred;
  std::map<std::string, SetLease> leases;
  // Closed shards by upstream, with the routing table offset at which they were
  // closed. kWhole stands for all shards of the upstream.
  std::map<std::string, std::map<std::uint32_t, LogOffset>> drained;
  RoutingTablePointer routing;

  static constexpr std::uint32_t kWhole = UINT32_MAX;

  BootTime Clock(nanoseconds elapsed) const {
    return BootTime(std::chrono::hours(1)) +
           nanoseconds(static_cast<std::int64_t>(
               static_cast<double>(elapsed.count()) * clock_rate));
  }
};

ControllerFixture::ControllerFixture() {
  Schedule(kListInterval, [this] { ListInstances(); });
}

ControllerFixture::~ControllerFixture() = default;

std::string ControllerFixture::AddInstance(const std::string& name,
                                           const std::string& zone,
                                           double clock_rate,
                                           const std::string& region) {
  ControllerOptions options;
  options.instance = name + ".1";
  options.zone = zone;
  options.region = region;
  options.forward_address = name + ":1";
  options.peer_address = name + ":2";
  auto instance = std::make_unique<Instance>();
  instance->controller = Controller::Create(options).value();
  instance->zone = zone;
  instance->peer_address = options.peer_address;
  instance->clock_rate = clock_rate;
  instances_[options.instance] = std::move(instance);
  history_[options.instance];
  listed_.push_back({ListedInstance::Kind::kEntry, options.instance, "", zone,
                     region, options.forward_address, options.peer_address,
                     false});
  std::string full_name = options.instance;
  Schedule(kTickInterval, [this, full_name] {
    Handle(full_name, InstancesListed{listed_});
    SendRead(full_name, 1, true);
  });
  return full_name;
}

void ControllerFixture::AddUpstream(const std::string& name,
                                    const std::string& service,
                                    const std::string& zone,
                                    const std::string& region) {
  listed_.push_back({ListedInstance::Kind::kUpstream, name, service, zone,
                     region, name + ":80", "", false});
}

void ControllerFixture::RemoveUpstream(const std::string& name) {
  std::erase_if(listed_, [&](const ListedInstance& listed) {
    return listed.name == name;
  });
}

void ControllerFixture::SetLeaving(const std::string& name, bool leaving) {
  for (ListedInstance& listed : listed_) {
    if (listed.name == name)
      listed.leaving = leaving;
  }
}

LogOffset ControllerFixture::Publish(const std::string& team,
                                     const std::string& text) {
  const OwnershipTable& table = Table();
  const auto current = table.state().sections.find(team);
  return Publish(team, text,
                 current == table.state().sections.end()
                     ? kNoOffset
                     : current->second.offset);
}

LogOffset ControllerFixture::Publish(const std::string& team,
                                     const std::string& text,
                                     LogOffset previous) {
  LogRecord record;
  record.id = "operator/" + std::to_string(log_.size() + 1);
  record.by = "operator";
  record.body = SectionRecord{team, previous, text};
  return AppendRaw(EncodeLogRecord(record));
}

LogOffset ControllerFixture::AppendRaw(const std::string& data) {
  log_.push_back(data);
  return log_.size();
}

void ControllerFixture::Run(nanoseconds duration) {
  const nanoseconds end = elapsed_ + duration;
  while (elapsed_ < end)
    Step();
}

bool ControllerFixture::RunUntil(const std::function<bool()>& condition,
                                 nanoseconds limit) {
  const nanoseconds end = elapsed_ + limit;
  while (!condition()) {
    if (elapsed_ >= end)
      return false;
    Step();
  }
  return true;
}

void ControllerFixture::Input(const std::string& instance,
                              const ControllerInput& input) {
  Handle(instance, input);
}

void ControllerFixture::Kill(const std::string& instance,
                             nanoseconds list_lag) {
  instances_.at(instance)->killed = true;
  Schedule(list_lag, [this, instance] {
    std::erase_if(listed_, [&](const ListedInstance& listed) {
      return listed.name == instance;
    });
  });
}

void ControllerFixture::Pause(const std::string& instance) {
  instances_.at(instance)->paused = true;
}

void ControllerFixture::Resume(const std::string& instance) {
  Instance& resumed = *instances_.at(instance);
  resumed.paused = false;
  for (const auto& work : std::exchange(resumed.deferred, {}))
    work();
}

void ControllerFixture::CutLog(const std::string& instance, bool cut) {
  instances_.at(instance)->log_cut = cut;
}

void ControllerFixture::CutPeers(const std::string& one,
                                 const std::string& other,
                                 bool cut) {
  if (cut)
    peer_cuts_.insert(OrderedPair(one, other));
  else
    peer_cuts_.erase(OrderedPair(one, other));
}

void ControllerFixture::LoseAppendAnswers(const std::string& instance,
                                          int count) {
  instances_.at(instance)->lost_answers = count;
}

void ControllerFixture::LoseAppends(const std::string& instance, int count) {
  instances_.at(instance)->lost_appends = count;
}

void ControllerFixture::DropRecordsBefore(LogOffset offset) {
  first_retained_ = offset;
}

void ControllerFixture::BlockDrains(const std::string& upstream, bool blocked) {
  if (blocked)
    blocked_drains_.insert(upstream);
  else
    blocked_drains_.erase(upstream);
}

void ControllerFixture::Observe(
    const std::string& upstream,
    UpstreamObserved::State state,
    const std::vector<std::uint64_t>& fingerprints) {
  if (state == UpstreamObserved::State::kLost)
    lost_.insert(upstream);
  else
    lost_.erase(upstream);
  for (const auto& [name, instance] : instances_) {
    // The upstream package also observes upstreams whose lease has expired.
    if (instance->leases.contains(upstream))
      Handle(name, UpstreamObserved{upstream, state, fingerprints});
  }
}

std::string ControllerFixture::Sender(const std::string& upstream) const {
  for (const auto& [name, instance] : instances_) {
    if (!instance->killed && MaySend(*instance, upstream))
      return name;
  }
  return {};
}

bool ControllerFixture::IsServed(const std::string& service,
                                 std::uint32_t shard) const {
  for (const auto& [name, instance] : instances_) {
    if (instance->killed || instance->paused || !instance->routing)
      continue;
    const RoutedService* routed = instance->routing->FindService(service);
    if (routed && IsShardOpen(*instance, *instance->routing, *routed, shard)) {
      return true;
    }
  }
  return false;
}

bool ControllerFixture::AllServed(const std::string& service) const {
  const OwnershipTable& table = Table();
  const ServiceSettings* settings = table.document().FindService(service);
  if (!settings)
    return false;
  for (std::uint32_t shard = 0; shard < settings->shards; ++shard) {
    if (!IsServed(service, shard))
      return false;
  }
  return true;
}

const OwnershipTable& ControllerFixture::Table() const {
  while (table_.applied() < log_.size())
    table_.Apply(table_.applied() + 1, log_[table_.applied()]);
  return table_;
}

Controller& ControllerFixture::controller(const std::string& instance) {
  return *instances_.at(instance)->controller;
}

RoutingTablePointer ControllerFixture::routing(
    const std::string& instance) const {
  return instances_.at(instance)->routing;
}

std::vector<std::string> ControllerFixture::EventNames(
    const std::string& instance) const {
  std::vector<std::string> names;
  for (const EmitLogEvent& log_line : Actions<EmitLogEvent>(instance))
    names.emplace_back(log_line.event.name);
  return names;
}

Now ControllerFixture::TimeOf(const std::string& instance) const {
  return Now{instances_.at(instance)->Clock(elapsed_),
             WallTime(kWallStart) +
                 std::chrono::duration_cast<milliseconds>(elapsed_)};
}

void ControllerFixture::Step() {
  elapsed_ += kStep;
  while (!queue_.empty() && queue_.begin()->first <= elapsed_) {
    const std::function<void()> work = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    work();
  }
  if (elapsed_ % kTickInterval == nanoseconds(0)) {
    for (const auto& [name, instance] : instances_) {
      if (!instance->paused)
        Handle(name, Tick{});
    }
  }
  CheckSafety();
}

void ControllerFixture::Schedule(nanoseconds delay,
                                 std::function<void()> work) {
  queue_.emplace(elapsed_ + delay, std::move(work));
}

void ControllerFixture::Handle(const std::string& name,
                               const ControllerInput& input) {
  Instance& instance = *instances_.at(name);
  if (instance.killed)
    return;
  if (instance.paused) {
    instance.deferred.push_back([this, name, input] { Handle(name, input); });
    return;
  }
  for (const ControllerAction& action :
       instance.controller->Handle(input, TimeOf(name))) {
    history_[name].push_back(action);
    if (const auto* log_line = std::get_if<EmitLogEvent>(&action))
      log_lines_.push_back({elapsed_, name, *log_line});
    Execute(name, action);
  }
}

void ControllerFixture::Execute(const std::string& name,
                                const ControllerAction& action) {
  Instance& instance = *instances_.at(name);
  if (const auto* append = std::get_if<AppendRecord>(&action)) {
    SendAppend(name, *append);
  } else if (const auto* request = std::get_if<SendPromiseRequest>(&action)) {
    SendPromise(name, *request);
  } else if (const auto* answer = std::get_if<SendPromiseResponse>(&action)) {
    const auto call = promise_calls_.find(answer->call_id);
    if (call != promise_calls_.end()) {
      call->second(*answer);
      promise_calls_.erase(call);
    }
  } else if (const auto* read = std::get_if<ReadLogNow>(&action)) {
    SendRead(name, read->from, false);
  } else if (const auto* lease = std::get_if<SetLease>(&action)) {
    SetLease& held = instance.leases[lease->upstream];
    if (held.fence != lease->fence) {
      instance.drained.erase(lease->upstream);
      // The upstream package detects the state of the upstream on its own.
      if (lost_.contains(lease->upstream)) {
        const UpstreamObserved lost{
            lease->upstream, UpstreamObserved::State::kLost, {}};
        Schedule(kFailureDelay, [this, name, lost] { Handle(name, lost); });
      }
    }
    held = *lease;
  } else if (const auto* table = std::get_if<PublishRoutingTable>(&action)) {
    instance.routing = table->table;
  } else if (const auto* resume = std::get_if<ResumeShards>(&action)) {
    auto& drained = instance.drained[resume->upstream];
    if (resume->whole_upstream)
      drained.erase(Instance::kWhole);
    for (const std::uint32_t shard : resume->shards)
      drained.erase(shard);
  } else if (const auto* drain = std::get_if<DrainShards>(&action)) {
    auto& drained = instance.drained[drain->upstream];
    const LogOffset epoch =
        instance.routing ? instance.routing->offset : kNoOffset;
    if (drain->whole_upstream)
      drained[Instance::kWhole] = epoch;
    for (const std::uint32_t shard : drain->shards)
      drained[shard] = epoch;
    const DrainFinished done{drain->drain_id, drain->upstream};
    if (!blocked_drains_.contains(drain->upstream))
      Schedule(2 * kMessageDelay, [this, name, done] { Handle(name, done); });
  } else if (const auto* report = std::get_if<SendLoadReport>(&action)) {
    Schedule(kMessageDelay, [this, report = *report] {
      if (instances_.contains(report.planner))
        Handle(report.planner, report.report);
    });
  } else if (const auto* advice = std::get_if<SendMoveAdvice>(&action)) {
    Schedule(kMessageDelay, [this, advice = *advice] {
      if (instances_.contains(advice.leader))
        Handle(advice.leader, advice.advice);
    });
  }
}

void ControllerFixture::SendAppend(const std::string& name,
                                   const AppendRecord& append) {
  Schedule(kMessageDelay, [this, name, append] {
    Instance& instance = *instances_.at(name);
    const auto answer = [this, name, append](bool confirmed, LogOffset offset,
                                             nanoseconds delay) {
      Schedule(delay, [=, this] {
        Handle(name, AppendFinished{append.record_id, confirmed, offset});
      });
    };
    if (!CanReachLog(name) || instance.lost_appends > 0) {
      instance.lost_appends = std::max(0, instance.lost_appends - 1);
      answer(false, kNoOffset, kFailureDelay);
      return;
    }
    const LogOffset offset = AppendRaw(append.data);
    if (instance.lost_answers > 0) {
      --instance.lost_answers;
      answer(false, kNoOffset, kFailureDelay);
      return;
    }
    answer(true, offset, kMessageDelay);
  });
}

void ControllerFixture::SendPromise(const std::string& name,
                                    const SendPromiseRequest& request) {
  const BootTime requested_at = TimeOf(name).boot;
  const auto lost = [this, name, request, requested_at] {
    Schedule(kFailureDelay, [this, name, request, requested_at] {
      Handle(name, PromiseAnswered{request.voter, requested_at, false, {}, 0});
    });
  };
  const bool reachable = instances_.contains(request.voter) &&
                         !instances_.at(request.voter)->killed &&
                         !ArePeersCut(name, request.voter);
  if (!reachable) {
    lost();
    return;
  }
  Schedule(kMessageDelay, [this, name, request, requested_at] {
    const std::uint64_t call = next_call_id_++;
    promise_calls_[call] = [this, name, request,
                            requested_at](const SendPromiseResponse& answer) {
      Schedule(kMessageDelay, [this, name, request, requested_at, answer] {
        if (ArePeersCut(name, request.voter))
          return;
        Handle(name, PromiseAnswered{request.voter, requested_at, true,
                                     answer.granted, answer.applied_offset});
      });
    };
    Handle(request.voter,
           PromiseRequested{call, name, request.duration, request.terms});
  });
}

void ControllerFixture::SendRead(const std::string& name,
                                 LogOffset from,
                                 bool wait) {
  Instance& instance = *instances_.at(name);
  if (instance.killed)
    return;
  const BootTime proof_time = TimeOf(name).boot;
  const nanoseconds deadline = elapsed_ + kLongPollTimeout;
  Schedule(kMessageDelay,
           [=, this] { AnswerRead(name, from, proof_time, deadline, wait); });
}

void ControllerFixture::AnswerRead(const std::string& name,
                                   LogOffset from,
                                   BootTime proof_time,
                                   nanoseconds deadline,
                                   bool wait) {
  if (!CanReachLog(name)) {
    Schedule(kFailureDelay, [=, this] { FailRead(name, wait); });
    return;
  }
  if (wait && log_.size() < from && elapsed_ < deadline) {
    Schedule(kStep,
             [=, this] { AnswerRead(name, from, proof_time, deadline, wait); });
    return;
  }
  LogRecordsRead read;
  read.first_retained = first_retained_;
  read.proof_time = proof_time;
  const LogOffset first = std::max(from, first_retained_);
  const LogOffset end =
      std::min<LogOffset>(log_.size() + 1, first + kReadLimit);
  for (LogOffset offset = first; offset < end; ++offset)
    read.records.push_back({offset, log_[offset - 1]});
  read.next = std::max(end, std::min<LogOffset>(first, log_.size() + 1));
  read.reached_end = read.next == log_.size() + 1;
  Schedule(kMessageDelay, [this, name, read, wait] {
    WhenRunning(name, [this, name, read, wait] {
      Handle(name, read);
      if (wait)
        SendRead(name, instances_.at(name)->controller->next_offset(), true);
    });
  });
}

void ControllerFixture::FailRead(const std::string& name, bool wait) {
  WhenRunning(name, [this, name, wait] {
    Handle(name, LogReadFailed{"cut"});
    if (wait)
      SendRead(name, instances_.at(name)->controller->next_offset(), true);
  });
}

void ControllerFixture::WhenRunning(const std::string& name,
                                    std::function<void()> work) {
  Instance& instance = *instances_.at(name);
  if (instance.paused)
    instance.deferred.push_back(std::move(work));
  else
    work();
}

void ControllerFixture::ListInstances() {
  for (const auto& [name, instance] : instances_)
    Handle(name, InstancesListed{listed_});
  Schedule(kListInterval, [this] { ListInstances(); });
}

bool ControllerFixture::CanReachLog(const std::string& instance) const {
  return !log_down_ && !instances_.at(instance)->log_cut;
}

bool ControllerFixture::ArePeersCut(const std::string& one,
                                    const std::string& other) const {
  return peer_cuts_.contains(OrderedPair(one, other));
}

bool ControllerFixture::MaySend(const Instance& instance,
                                const std::string& upstream) const {
  const auto lease = instance.leases.find(upstream);
  if (lease == instance.leases.end() ||
      lease->second.valid_until <= instance.Clock(elapsed_)) {
    return false;
  }
  const auto drained = instance.drained.find(upstream);
  return drained == instance.drained.end() ||
         !drained->second.contains(Instance::kWhole);
}

bool ControllerFixture::IsShardOpen(const Instance& instance,
                                    const RoutingTable& table,
                                    const RoutedService& service,
                                    std::uint32_t shard) const {
  const std::uint32_t owner = service.shard_owners.at(shard);
  if (owner == RoutedService::kNoUpstream)
    return false;
  const RoutedUpstream& upstream = table.upstreams[owner];
  if (!MaySend(instance, upstream.name))
    return false;
  const auto drained = instance.drained.find(upstream.name);
  if (drained == instance.drained.end())
    return true;
  const auto closed = drained->second.find(shard);
  return closed == drained->second.end() ||
         closed->second < service.shard_offsets[shard];
}

void ControllerFixture::CheckSafety() {
  std::map<std::string, std::string> senders;
  std::map<std::pair<std::string, std::uint32_t>, std::string> owners;
  for (const auto& [name, instance] : instances_) {
    if (instance->killed)
      continue;
    for (const auto& [upstream, lease] : instance->leases) {
      if (!MaySend(*instance, upstream))
        continue;
      const auto [entry, added] = senders.try_emplace(upstream, name);
      if (!added) {
        std::string violation = "two senders of " + upstream;
        violation.append(": ").append(entry->second).append(", ").append(name);
        violations_.push_back(std::move(violation));
      }
    }
    if (!instance->routing)
      continue;
    for (const auto& [service_name, service] : instance->routing->services) {
      for (std::uint32_t shard = 0; shard < service.shard_owners.size();
           ++shard) {
        if (!IsShardOpen(*instance, *instance->routing, service, shard))
          continue;
        const std::string& upstream =
            instance->routing->upstreams[service.shard_owners[shard]].name;
        const auto [entry, added] =
            owners.try_emplace({service_name, shard}, upstream);
        if (!added && entry->second != upstream) {
          std::string violation = "two owners of shard ";
          violation.append(std::to_string(shard)).append(": ");
          violation.append(entry->second).append(", ").append(upstream);
          violations_.push_back(std::move(violation));
        }
      }
    }
  }
}

std::string ShardedSection(const std::string& team,
                           const std::string& service,
                           std::uint32_t shards,
                           const std::string& more) {
  return "team: " + team + "\nservices:\n  - {name: " + service +
         ", path_prefix: /" + service +
         "/, key: {path_segment: 0}, shards: " + std::to_string(shards) +
         ", slots: 2, connections: 4, isolation_hold: 5s}\n" + more;
}

}  // namespace pollenrudder
