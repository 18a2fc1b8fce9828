// The network, the log, the faults and the safety check of LeaseModel.

#include "ownership/lease_model_test.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "ownership/lease_model_instance_test.h"

namespace pollenrudder {
namespace {

constexpr char kShortHoldUpstream[] = "u-short";
constexpr char kLongHoldUpstream[] = "u-long";
// The share of the maximum clock drift that the clocks use.
constexpr double kClockDriftShare = 0.99;
// The longest delay of a slow append. It exceeds the time after which a claim
// is abandoned, so that an `abandon` record can precede its claim on the log.
constexpr int kMaxSlowAppendSteps = 60;
// How long the two instances of a disputed claim are disconnected. This exceeds
// the duration of a promise, so that the voter may claim.
constexpr int kDisputeSteps = 60;

LeaseDurations DurationsOf(const ModelRun& run) {
  LeaseDurations durations;
  durations.max_clock_drift = run.max_clock_drift_percent / 100.0;
  return durations;
}

}  // namespace

const std::vector<std::string>& LeaseModel::upstreams() {
  static const std::vector<std::string> names = {kShortHoldUpstream,
                                                 kLongHoldUpstream};
  return names;
}

LeaseModel::LeaseModel(ModelRun run)
    : run_(std::move(run)),
      durations_(DurationsOf(run_)),
      random_(run_.seed),
      network_(std::make_unique<Network>()) {
  for (int zone = 0; zone < kZones; ++zone) {
    for (int index = 0; index < run_.instances_per_zone; ++index) {
      auto instance = std::make_unique<Instance>();
      instance->index = static_cast<int>(instances_.size());
      instance->zone_index = zone;
      instance->rate = 1.0 + durations_.max_clock_drift * kClockDriftShare *
                                 Random(101) / 100.0;
      instance->offset = std::chrono::seconds(Random(1000));
      instances_.push_back(std::move(instance));
    }
  }
  network_->instances = static_cast<int>(instances_.size());
  for (auto& instance : instances_)
    Restart(*instance);
}

LeaseModel::~LeaseModel() = default;

std::optional<std::string> LeaseModel::Run() {
  StartFaults();
  return Advance(run_.steps);
}

std::optional<std::string> LeaseModel::Advance(int steps) {
  for (int step = 0; step < steps; ++step) {
    Step();
    if (auto fault = FindLeaseConflict())
      return fault;
  }
  return std::nullopt;
}

void LeaseModel::Step() {
  ++now_;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
  for (auto& instance : instances_) {
    if (instance->down || now_ < instance->paused_until)
      continue;
    std::deque<std::function<void(Instance&)>> inbox;
    inbox.swap(instance->inbox);
    for (const auto& message : inbox)
      message(*instance);
    RunInstance(*instance);
  }
}

std::optional<std::string> LeaseModel::FindLeaseConflict() const {
  for (const std::string& upstream : upstreams()) {
    std::string holder;
    for (const auto& instance : instances_) {
      const auto lease = instance->leases.find(upstream);
      if (instance->down || lease == instance->leases.end() ||
          !lease->second.active(Clock(*instance))) {
        continue;
      }
      if (!holder.empty()) {
        std::ostringstream text;
        text << upstream << " has the leases of " << holder << " and "
             << instance->name << " at step " << now_;
        return text.str();
      }
      holder = instance->name;
    }
  }
  return std::nullopt;
}

void LeaseModel::StartFaults() {
  for (const ModelFault& fault : run_.faults)
    Schedule(fault.start, [this, fault] { StartFault(fault); });
}

void LeaseModel::StartFault(const ModelFault& fault) {
  const int count = network_->instances;
  const int end = now_ + fault.duration;
  const int zone = fault.subject % kZones;
  Instance& subject = *instances_[fault.subject % count];
  Instance& other = *instances_[fault.other % count];
  const std::string& upstream = upstreams()[fault.subject % upstreams().size()];
  Instance* holder = FindHolder(upstream);
  switch (fault.kind) {
    case ModelFault::Kind::kCutZoneFromLog:
      CutZoneFromLog(zone, end);
      break;
    case ModelFault::Kind::kCutZoneFromAll:
      CutZoneFromLog(zone, end);
      CutZoneFromZones(zone, end);
      break;
    case ModelFault::Kind::kCutInstanceFromLog:
      network_->CutLog(subject.index, end);
      break;
    case ModelFault::Kind::kCutZones:
      for (const auto& left : instances_) {
        for (const auto& right : instances_) {
          if (left->zone_index == zone &&
              right->zone_index == fault.other % kZones && left != right) {
            network_->Cut(left->index, right->index, end);
            network_->Cut(right->index, left->index, end);
          }
        }
      }
      break;
    case ModelFault::Kind::kCutPair:
      network_->Cut(subject.index, other.index, end);
      network_->Cut(other.index, subject.index, end);
      break;
    case ModelFault::Kind::kCutOneWay:
      network_->Cut(subject.index, other.index, end);
      break;
    case ModelFault::Kind::kLogDown:
      for (const auto& instance : instances_)
        network_->CutLog(instance->index, end);
      break;
    case ModelFault::Kind::kSlowAppends:
      network_->slow_until = std::max(network_->slow_until, end);
      break;
    case ModelFault::Kind::kPause:
      subject.paused_until = std::max(subject.paused_until, end);
      break;
    case ModelFault::Kind::kCrash:
      subject.down = true;
      Schedule(end, [this, &subject] {
        if (subject.down)
          Restart(subject);
      });
      break;
    case ModelFault::Kind::kHandover:
      if (holder && now_ >= holder->paused_until)
        HandOver(*holder, upstream, other);
      break;
    case ModelFault::Kind::kRevise:
      if (holder && now_ >= holder->paused_until) {
        const auto hold = IsolationHoldOf(upstream) / (1 + fault.other % 3);
        Revise(*holder, upstream, ChooseVoters(*holder, nullptr, {}), hold);
      }
      break;
    default:
      StartSequence(fault);
      break;
  }
}

void LeaseModel::StartSequence(const ModelFault& fault) {
  const int end = now_ + fault.duration;
  const std::string& upstream = upstreams()[fault.subject % upstreams().size()];
  Instance* holder = FindHolder(upstream);
  if (!holder || now_ < holder->paused_until)
    return;
  Instance& other = *instances_[fault.other % network_->instances];
  switch (fault.kind) {
    case ModelFault::Kind::kIsolateHolderZone:
      CutZoneFromLog(holder->zone_index, end);
      CutZoneFromZones(holder->zone_index, end);
      break;
    case ModelFault::Kind::kReviseThenCutLog:
      Revise(*holder, upstream, ChooseVoters(*holder, nullptr, {}),
             IsolationHoldOf(upstream) / (1 + fault.other % 6));
      Schedule(now_ + 1 + Random(4), [this, holder, end] {
        CutZoneFromLog(holder->zone_index, end);
        CutZoneFromZones(holder->zone_index, end);
      });
      break;
    case ModelFault::Kind::kSlowHandover:
      network_->slow_until = std::max(network_->slow_until, now_ + 2);
      HandOver(*holder, upstream, other);
      break;
    case ModelFault::Kind::kDisputedClaim:
      network_->Cut(holder->index, other.index, now_ + kDisputeSteps);
      network_->Cut(other.index, holder->index, now_ + kDisputeSteps);
      cut_at_claim_[upstream] = fault.duration;
      break;
    case ModelFault::Kind::kCrashClaimant:
      holder->paused_until = std::max(holder->paused_until, end);
      Schedule(now_ + kDisputeSteps, [this, upstream] {
        if (log_.empty() || log_.back().term.upstream != upstream)
          return;
        for (auto& instance : instances_) {
          if (instance->name == log_.back().by)
            instance->down = true;
        }
      });
      break;
    default:
      break;
  }
}

void LeaseModel::CutZoneFromLog(int zone, int end) {
  for (const auto& instance : instances_) {
    if (instance->zone_index == zone)
      network_->CutLog(instance->index, end);
  }
}

void LeaseModel::CutZoneFromZones(int zone, int end) {
  for (const auto& left : instances_) {
    for (const auto& right : instances_) {
      if ((left->zone_index == zone) != (right->zone_index == zone))
        network_->Cut(left->index, right->index, end);
    }
  }
}

void LeaseModel::CutLogAtClaim(const ModelRecord& record) {
  const auto cut = cut_at_claim_.find(record.term.upstream);
  if (cut == cut_at_claim_.end() || record.term.kind != TermKind::kClaim)
    return;
  const Instance* holder = FindHolder(record.term.upstream);
  for (const auto& instance : instances_) {
    if (instance.get() != holder && instance->name != record.by)
      continue;
    network_->CutLog(instance->index, now_ + cut->second);
    for (auto& [connection, end] : network_->connections) {
      if (connection.first == instance->index ||
          connection.second == instance->index)
        end = now_;
    }
  }
  cut_at_claim_.erase(cut);
}

void LeaseModel::EndFaults() {
  events_.clear();
  cut_at_claim_.clear();
  *network_ = Network();
  network_->instances = static_cast<int>(instances_.size());
  run_.random_voters = false;
  faults_ended_ = true;
  for (auto& instance : instances_) {
    instance->paused_until = 0;
    instance->read_pending = false;
    if (instance->down)
      Restart(*instance);
  }
  ModelTable table;
  for (std::size_t index = 0; index < log_.size(); ++index)
    table.Apply(log_[index], index + 1);
  const auto live = [this](const std::string& name) {
    return std::any_of(
        instances_.begin(), instances_.end(),
        [&](const auto& instance) { return instance->name == name; });
  };
  for (const auto& [upstream, term] : table.terms()) {
    const bool replaceable =
        std::any_of(term.voters.begin(), term.voters.end(),
                    [&](const Voter& voter) { return live(voter.instance); });
    if (live(term.leader) || replaceable)
      continue;
    ModelRecord record;
    record.type = ModelRecord::Type::kDeclareLost;
    record.subject = term.leader;
    log_.push_back(record);
    arrival_steps_.push_back(now_);
    arrival_steps_.push_back(now_);
  }
}

bool LeaseModel::KillLeader(const std::string& upstream) {
  Instance* holder = FindHolder(upstream);
  if (!holder)
    return false;
  holder->down = true;
  return true;
}

std::string LeaseModel::Trace() const {
  static constexpr std::array<const char*, 5> kKinds = {
      "first", "claim", "handover", "revise", "declared-lost"};
  static constexpr std::array<const char*, 4> kTypes = {
      "term", "active", "abandon", "declare-lost"};
  std::string text;
  for (std::size_t index = 0; index < log_.size(); ++index) {
    const ModelRecord& record = log_[index];
    std::ostringstream line;
    line << index + 1 << " at " << arrival_steps_[index] << " "
         << kTypes.at(static_cast<std::size_t>(record.type)) << " by "
         << record.by << " " << record.term.upstream << " " << record.subject;
    text += line.str();
    if (record.type == ModelRecord::Type::kTerm) {
      std::ostringstream term;
      term << " " << kKinds.at(static_cast<std::size_t>(record.term.kind))
           << " over " << record.previous << " for " << record.term.leader
           << ", voters";
      text += term.str();
      for (const Voter& voter : record.term.voters)
        text.append(" ").append(voter.instance);
    }
    text += "\n";
  }
  return text + "ended at step " + std::to_string(now_);
}

std::string LeaseModel::ActiveLeader(const std::string& upstream) const {
  const Instance* holder = FindHolder(upstream);
  return holder ? holder->name : std::string();
}

LeaseModel::Instance* LeaseModel::FindHolder(
    const std::string& upstream) const {
  for (const auto& instance : instances_) {
    const auto lease = instance->leases.find(upstream);
    if (!instance->down && lease != instance->leases.end() &&
        lease->second.active(Clock(*instance))) {
      return instance.get();
    }
  }
  return nullptr;
}

void LeaseModel::Schedule(int step, std::function<void()> action) {
  events_.emplace(std::max(step, now_ + 1), std::move(action));
}

void LeaseModel::Deliver(Instance& to, std::function<void(Instance&)> message) {
  if (!to.down)
    to.inbox.push_back(std::move(message));
}

void LeaseModel::AppendRecord(const Instance& self, ModelRecord record) {
  record.by = self.name;
  if (!network_->IsLogConnected(self.index, now_))
    return;
  const int delay =
      now_ < network_->slow_until ? Random(kMaxSlowAppendSteps + 1) : Delay();
  Schedule(now_ + delay, [this, record = std::move(record)] {
    log_.push_back(record);
    arrival_steps_.push_back(now_);
    CutLogAtClaim(record);
  });
}

void LeaseModel::ReadLog(Instance& self) {
  if (self.read_pending && now_ < self.read_timeout)
    return;
  self.read_pending = true;
  self.read_timeout = now_ + 40;
  self.last_read = now_;
  if (!network_->IsLogConnected(self.index, now_)) {
    self.claims->OnLogReadFailed();
    return;
  }
  const BootTime requested_at = Clock(self);
  const std::string name = self.name;
  const LogOffset from = self.next;
  Schedule(now_ + Delay(), [this, &self, name, requested_at, from] {
    const std::size_t size = log_.size();
    // Some answers are truncated, as by the size limit of a log read.
    const std::size_t end = !faults_ended_ && size >= from && Random(10) == 0
                                ? std::size_t{from}
                                : size;
    if (!network_->IsLogConnected(self.index, now_))
      return;
    Schedule(now_ + Delay(), [this, &self, name, requested_at, end, size] {
      if (self.name != name)
        return;
      Deliver(self, [this, requested_at, end, size](Instance& reader) {
        reader.read_pending = false;
        while (reader.next <= end) {
          const LogOffset offset = reader.next++;
          Apply(reader, log_[offset - 1], offset);
        }
        if (end < size)
          return;
        reader.claims->OnLogRead(requested_at, Clock(reader));
        for (auto& [upstream, lease] : reader.leases) {
          lease.OnLogRead(requested_at, true,
                          reader.table.Find(upstream)->term);
        }
      });
    });
  });
}

BootTime LeaseModel::Clock(const Instance& instance) const {
  const auto real = std::chrono::nanoseconds(kModelStep) * now_;
  return BootTime(instance.offset +
                  std::chrono::nanoseconds(static_cast<std::int64_t>(
                      static_cast<double>(real.count()) * instance.rate)));
}

int LeaseModel::Random(int limit) {
  return static_cast<int>(random_() % static_cast<unsigned>(limit));
}

int LeaseModel::Delay() {
  return Random(faults_ended_ ? 2 : 3);
}

std::chrono::nanoseconds IsolationHoldOf(const std::string& upstream) {
  return upstream == kShortHoldUpstream ? std::chrono::milliseconds(1500)
                                        : std::chrono::milliseconds(8000);
}

}  // namespace pollenrudder
