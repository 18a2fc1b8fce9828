// RelaySimulation: replacements of the log by earlier copies, and the recovery
// after the faults.

#include <algorithm>
#include <string>
#include <utility>

#include "grants/relay_simulation.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTimeStep{20};
// Includes the time for which a leader that knows no table waits for the grants
// of earlier leaders to end, about 15 s.
constexpr std::chrono::milliseconds kRecoveryTime{30000};
// A key that is moved has no owner for a moment.
constexpr std::chrono::milliseconds kMaxUnservedTime{5000};

}  // namespace

void RelaySimulation::PlanRestoration() {
  if (recovers_)
    return;
  if (Chance(0.5)) {
    RestoreLog();
    return;
  }
  const bool suspends = Chance(0.3);
  for (Instance& instance : instances_) {
    if (!instance.coordinator->IsLeader())
      continue;
    if (suspends)
      instance.suspended_until = now_ + Delay(8000);
    else
      instance.disconnected_until = now_ + Delay(10000);
  }
  preferred_ = Pick(kInstances);
  Schedule(1s + Delay(8000), [this] { RestoreLog(); });
}

void RelaySimulation::RestoreLog() {
  if (recovers_ || IsStoreDown())
    return;
  const BootTime copied_at = Chance(0.1) ? BootTime{} : now_ - Delay(10000);
  store_down_until_ = now_ + Delay(4000);
  events_.push_back({store_down_until_, [=, this] { ReplaceLog(copied_at); }});
}

void RelaySimulation::InstallCopy(BootTime copied_at) {
  std::vector<StoredRecord> copy = LogAt(copied_at);
  former_logs_.push_back({now_, std::exchange(log_, std::move(copy))});
  ++epoch_;
  states_.emplace_back(log_.size() + 1);
  first_retained_ = std::min<std::uint64_t>(first_retained_, log_.size());
}

void RelaySimulation::ReplaceLog(BootTime copied_at) {
  InstallCopy(copied_at);
  // The membership group starts anew.
  if (Chance(0.5))
    preferred_ = Pick(kInstances);
  const bool stops_all = Chance(0.05);
  for (int index = 0; index < kInstances; ++index) {
    if (stops_all || Chance(0.1))
      Stop(index, Chance(0.3));
  }
  if (Chance(0.3))
    Schedule(Delay(6000), [this] { RestoreLog(); });
}

std::vector<RelaySimulation::StoredRecord> RelaySimulation::LogAt(
    BootTime time) const {
  const auto former = std::ranges::find_if(
      former_logs_,
      [time](const FormerLog& log) { return time < log.replaced_at; });
  std::vector<StoredRecord> records =
      former == former_logs_.end() ? log_ : former->records;
  std::erase_if(records, [time](const StoredRecord& stored) {
    return stored.appended_at > time;
  });
  return records;
}

void RelaySimulation::SendLastChange(int index) {
  const std::uint64_t offset =
      instances_[index].coordinator->last_change_offset();
  for (int other = 0; other < kInstances; ++other) {
    if (other == index || now_ < instances_[index].isolated_until ||
        now_ < instances_[other].isolated_until || Chance(0.25))
      continue;
    const int incarnation = instances_[other].incarnation;
    Schedule(Chance(0.1) ? Delay(2000) : Delay(40), [=, this] {
      Deliver(other, incarnation,
              [=](GrantCoordinator& target) { target.OnLastChange(offset); });
    });
  }
}

void RelaySimulation::Recover() {
  EndFaults();
  const BootTime end = now_ + kRecoveryTime;
  while (now_ < end && violation_.empty()) {
    now_ += kTimeStep;
    RunStep();
  }
  if (!violation_.empty())
    return;
  for (std::size_t index = 0; index < kSampledKeys.size(); ++index) {
    if (now_ > last_served_[index] + kMaxUnservedTime)
      Fail("no owner", kSampledKeys[index]);
  }
}

void RelaySimulation::EndFaults() {
  recovers_ = true;
  fault_rate_ = 0;
  for (Instance& instance : instances_) {
    instance.disconnected_until = now_;
    instance.suspended_until = now_;
    instance.isolated_until = now_;
    instance.list_lag = 0ms;
  }
  for (auto& [zone, link] : links_)
    link.full_until = now_;
  unlisted_.clear();
  takeover_.reset();
  if (ListProcesses().upstreams().empty())
    StartProcess(0, "u" + std::to_string(next_name_++));
}

}  // namespace pollenrudder
