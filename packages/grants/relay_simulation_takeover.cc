// RelaySimulation: the loss of a part of the log on which a second leader took
// over from a leader that was cut off from the store.

#include <algorithm>
#include <string>
#include <variant>

#include "grants/relay_simulation.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTimeStep{20};

bool IsResignation(const GrantLogRecord& record) {
  const auto parsed = ParseGrantLogRecord(record);
  if (!parsed)
    return false;
  const auto* term = std::get_if<GrantTermRecord>(&parsed.value());
  return term != nullptr && term->resigned;
}

}  // namespace

void RelaySimulation::PlanTakeover() {
  if (recovers_)
    return;
  const auto leader =
      std::ranges::find_if(instances_, [this](const Instance& instance) {
        return instance.coordinator->IsActive(now_);
      });
  if (leader == instances_.end()) {
    Schedule(kTimeStep, [this] { PlanTakeover(); });
    return;
  }
  Takeover takeover;
  takeover.former = static_cast<int>(leader - instances_.begin());
  takeover.successor =
      (takeover.former + 1 + Pick(kInstances - 1)) % kInstances;
  if (Chance(0.6)) {
    takeover.unreachable = Pick(kAddresses);
    takeover.is_refused = Chance(0.5);
  }
  takeover.restores_at_once = Chance(0.1);
  const bool has_table = !leader->coordinator->tables().empty();
  takeover_ = takeover;
  if (!has_table) {
    takeover_->cut_off = CutOff::kBeforeFirstTable;
    CutOffLeader();
    return;
  }
  if (Chance(0.5))
    unlisted_.insert(processes_[Pick(kAddresses)].name);
  const double kind = Draw();
  if (kind < 0.4) {
    CutOffLeader();
    return;
  }
  if (kind < 0.7) {
    takeover_->cut_off = CutOff::kAtAppend;
    takeover_->appends_left = 1 + Pick(6);
    hot_ = static_cast<KeyNumber>(hot_ < 40000 ? hot_ + 13000 : 20000);
    return;
  }
  takeover_->cut_off = CutOff::kAtResignation;
  leader->coordinator->TransferLeadership(InstanceName(takeover.successor),
                                          now_);
}

bool RelaySimulation::CutOffAtAppend(int index, const LogAppend& append) {
  if (!takeover_ || takeover_->is_cut_off || index != takeover_->former)
    return false;
  const bool is_reached =
      takeover_->cut_off == CutOff::kAtResignation
          ? std::ranges::any_of(append.records, IsResignation)
          : --takeover_->appends_left <= 0;
  if (is_reached)
    CutOffLeader();
  return is_reached;
}

void RelaySimulation::CutOffLeader() {
  Takeover& takeover = *takeover_;
  takeover.is_cut_off = true;
  takeover.cut_off_at = now_;
  takeover.copied_at = Chance(0.8) ? now_ : now_ + Delay(2000);
  instances_[takeover.former].disconnected_until = BootTime::max();
  preferred_ = takeover.successor;
  if (takeover.restores_at_once) {
    // The grants that the former leader sends last arrive as late as possible.
    for (const char* zone : {"a", "b"}) {
      Schedule(3500ms, [=, this] {
        links_[zone].full_until = now_ + 1500ms;
        links_[zone].queue = 4900ms;
      });
    }
    LoseTakeover();
    return;
  }
  AwaitTakeover();
}

void RelaySimulation::AwaitTakeover() {
  if (recovers_)
    return;
  const GrantCoordinator& successor =
      *instances_[takeover_->successor].coordinator;
  if (now_ > takeover_->cut_off_at + 14s) {
    LoseTakeover();
    return;
  }
  if (!successor.IsActive(now_) || now_ < successor.changes_allowed_from()) {
    Schedule(kTimeStep, [this] { AwaitTakeover(); });
    return;
  }
  ForceMoves();
  // The times at which the former leader may still continue, and those around
  // the end of all grants that it knows.
  const BootTime early = now_ + 200ms + Delay(4000);
  const BootTime late = takeover_->cut_off_at + 11s + Delay(8000);
  events_.push_back({Chance(0.6) ? early : std::max(early, late),
                     [this] { LoseTakeover(); }});
}

void RelaySimulation::ForceMoves() {
  unlisted_.clear();
  hot_ = static_cast<KeyNumber>(hot_ < 40000 ? hot_ + 13000 : 20000);
  if (Chance(0.4))
    EndProcess(Pick(kAddresses));
}

void RelaySimulation::LoseTakeover() {
  if (recovers_ || IsStoreDown())
    return;
  store_down_until_ = now_ + Delay(Chance(0.7) ? 400 : 4000);
  events_.push_back(
      {store_down_until_, [this] {
         InstallCopy(takeover_->copied_at);
         Instance& former = instances_[takeover_->former];
         former.disconnected_until =
             now_ + (takeover_->restores_at_once ? 10s : Delay(600));
         // The second leader does not learn of the restoration.
         if (!takeover_->restores_at_once && Chance(0.7))
           instances_[takeover_->successor].disconnected_until = now_ + 8s;
       }});
}

std::optional<KeyCallResult> RelaySimulation::ResultIfUnreachable(
    int index,
    int address) const {
  if (!takeover_ || !takeover_->is_cut_off || index != takeover_->successor ||
      address != takeover_->unreachable)
    return std::nullopt;
  return takeover_->is_refused ? KeyCallResult::kUnreachable
                               : KeyCallResult::kUnknown;
}

}  // namespace pollenrudder
