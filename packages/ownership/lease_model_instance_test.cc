// The behavior of one instance in LeaseModel, equivalent to Controller.

#include "ownership/lease_model_instance_test.h"

#include <algorithm>
#include <utility>

#include "ownership/voter_selection.h"

namespace pollenrudder {
namespace {

constexpr int kHeartbeatSteps = 10;
constexpr int kLogReadSteps = 8;
constexpr int kLongPollSteps = 2;
constexpr int kResendSteps = 20;
constexpr std::chrono::milliseconds kVoterTimeout{550};

std::string ZoneName(int zone) {
  return std::string(1, static_cast<char>('a' + zone));
}

// Zones a and b are in one region.
std::string RegionName(const std::string& zone) {
  return zone == "c" ? "west" : "east";
}

}  // namespace

void LeaseModel::Restart(Instance& instance) {
  ++instance.incarnation;
  instance.zone = ZoneName(instance.zone_index);
  instance.name = instance.zone + std::to_string(instance.index) + "." +
                  std::to_string(instance.incarnation);
  instance.down = false;
  instance.inbox.clear();
  instance.table = ModelTable();
  instance.next = 1;
  instance.promises = std::make_unique<VoterPromises>(durations_);
  instance.claims =
      std::make_unique<ClaimTracker>(instance.name, instance.zone, durations_);
  instance.leases.clear();
  instance.pending.clear();
  instance.pending_sent.clear();
  instance.active_sent.clear();
  instance.claimable_since.clear();
  instance.read_pending = false;
}

void LeaseModel::RunInstance(Instance& self) {
  for (const std::string& upstream : upstreams()) {
    if (self.leases.contains(upstream)) {
      MaintainLease(self, upstream);
    } else {
      TryClaim(self, upstream);
    }
  }
  if (now_ >= self.last_heartbeat + kHeartbeatSteps) {
    self.last_heartbeat = now_;
    for (const auto& entry : self.leases)
      RequestPromises(self, entry.first);
  }
  // An instance that waits for the outcome of its claim reads the log more
  // often, as the long poll does.
  const bool has_unresolved_claim = std::any_of(
      upstreams().begin(), upstreams().end(), [&](const std::string& name) {
        return self.claims->HasUnresolvedClaim(name);
      });
  if (now_ >=
      self.last_read +
          (has_unresolved_claim ? kLongPollSteps : run_.read_interval_steps)) {
    ReadLog(self);
  }
}

void LeaseModel::MaintainLease(Instance& self, const std::string& upstream) {
  LeaderLease& lease = self.leases.at(upstream);
  const BootTime now = Clock(self);
  const auto pending = self.pending.find(upstream);
  if ((pending != self.pending.end() || !lease.HasAllPromises(now)) &&
      now_ >= self.last_read + kLogReadSteps) {
    ReadLog(self);
  }
  if (pending != self.pending.end() &&
      now_ >= self.pending_sent[upstream] + kResendSteps) {
    self.pending_sent[upstream] = now_;
    ModelRecord record;
    record.type = ModelRecord::Type::kAbandon;
    record.subject = pending->second;
    AppendRecord(self, record);
  }
  if (!lease.active(now))
    return;

  // The append can be lost, and the next claim waits longer if the term is not
  // recorded as active. The record is therefore sent again until it is read.
  int& active_sent = self.active_sent[upstream];
  const TermState* read = self.table.Find(upstream);
  if (!read->active && now_ >= active_sent + kResendSteps) {
    active_sent = now_;
    ModelRecord record;
    record.type = ModelRecord::Type::kActive;
    record.previous = lease.term().term;
    record.term.upstream = upstream;
    AppendRecord(self, record);
  }
  const auto unresponsive = lease.UnresponsiveVoters(now - kVoterTimeout);
  if (!run_.random_voters && !unresponsive.empty() &&
      pending == self.pending.end() &&
      now - kVoterTimeout > lease.active_from()) {
    Revise(self, upstream, ChooseVoters(self, &lease.term(), unresponsive),
           IsolationHoldOf(upstream));
  }
}

void LeaseModel::TryClaim(Instance& self, const std::string& upstream) {
  const BootTime now = Clock(self);
  if (const auto abandoned = self.claims->TakeDueAbandon(upstream, now)) {
    ModelRecord record;
    record.type = ModelRecord::Type::kAbandon;
    record.subject = *abandoned;
    AppendRecord(self, record);
  }
  const TermState* current = self.table.Find(upstream);
  ClaimTracker::View view{.upstream = upstream, .current = current};
  if (!current || self.table.IsDeclaredLost(current->leader)) {
    view.claimable_since =
        self.claimable_since.try_emplace(upstream, now).first->second;
    view.zone_instances = LiveInstances("a");
  } else {
    self.claimable_since.erase(upstream);
  }
  view.own_promise_expiry = self.promises->ExpiryTime(upstream);
  if (self.claims->NeedsLogRead(view, now))
    ReadLog(self);
  if (!self.claims->MayClaim(view, now))
    return;

  ModelRecord record;
  record.id = "claim-" + std::to_string(++record_ids_);
  record.term.upstream = upstream;
  record.term.kind = ClaimTracker::ClaimKind(view);
  record.term.leader = self.name;
  record.term.leader_zone = self.zone;
  record.term.isolation_hold = IsolationHoldOf(upstream);
  record.term.active = current == nullptr;
  record.term.voters = ChooseVoters(self, nullptr, {});
  if (current) {
    record.previous = current->term;
    record.term.wait = ClaimTracker::RequiredWait(*current, record.term.kind,
                                                  self.zone, durations_);
  }
  self.claims->OnClaimSent(upstream, record.previous, record.id, now);
  AppendRecord(self, record);
}

void LeaseModel::Apply(Instance& self,
                       const ModelRecord& record,
                       LogOffset offset) {
  const bool applied = self.table.Apply(record, offset);
  const bool own_abandon =
      record.type == ModelRecord::Type::kAbandon && record.by == self.name;
  const std::string& resolved = own_abandon ? record.subject : record.id;
  if (own_abandon) {
    self.claims->OnAbandonRead(resolved);
  } else {
    self.claims->OnClaimRead(resolved);
  }
  if (applied && record.type == ModelRecord::Type::kTerm)
    OnTermChanged(self, *self.table.Find(record.term.upstream));

  for (auto pending = self.pending.begin(); pending != self.pending.end();) {
    if (pending->second != resolved) {
      ++pending;
      continue;
    }
    const auto lease = self.leases.find(pending->first);
    if (lease != self.leases.end()) {
      lease->second.AbandonRevision();
      lease->second.AbandonHandover();
    }
    pending = self.pending.erase(pending);
  }
}

void LeaseModel::OnTermChanged(Instance& self, const TermState& term) {
  const BootTime now = Clock(self);
  self.claims->OnTermRead(term, now);
  const auto lease = self.leases.find(term.upstream);
  if (term.leader != self.name) {
    if (lease != self.leases.end())
      self.leases.erase(lease);
    self.pending.erase(term.upstream);
    return;
  }
  if (lease != self.leases.end() && term.kind == TermKind::kRevise) {
    lease->second.FinishRevision(term);
    self.pending.erase(term.upstream);
    return;
  }
  self.leases.erase(term.upstream);
  self.leases.emplace(term.upstream,
                      LeaderLease(term, durations_, now,
                                  self.promises->ExpiryTime(term.upstream)));
  takeovers_ += term.kind != TermKind::kFirst;
  RequestPromises(self, term.upstream);
}

void LeaseModel::RequestPromises(Instance& self, const std::string& upstream) {
  const LeaderLease& lease = self.leases.at(upstream);
  const std::vector<PromisedTerm> terms = lease.TermsToRequest();
  const BootTime requested_at = Clock(self);
  const std::string leader = self.name;
  const std::vector<Voter> needed = lease.RequiredVoters();
  for (auto& instance : instances_) {
    Instance& voter = *instance;
    if (std::none_of(needed.begin(), needed.end(), [&](const Voter& other) {
          return other.instance == voter.name;
        })) {
      continue;
    }
    if (!network_->IsConnected(self.index, voter.index, now_))
      continue;
    const std::string name = voter.name;
    Schedule(now_ + Delay(), [=, this, &self, &voter] {
      if (voter.name != name)
        return;
      Deliver(voter, [=, this, &self](Instance& recipient) {
        std::vector<PromisedTerm> granted;
        AnswerPromise(recipient, leader, terms, &granted);
        if (!network_->IsConnected(recipient.index, self.index, now_))
          return;
        Schedule(now_ + Delay(), [=, this, &self] {
          if (self.name != leader)
            return;
          Deliver(self, [=](Instance& requester) {
            const auto led = requester.leases.find(upstream);
            if (led != requester.leases.end())
              led->second.OnPromise(name, requested_at, granted);
          });
        });
      });
    });
  }
}

void LeaseModel::AnswerPromise(Instance& self,
                               const std::string& leader,
                               const std::vector<PromisedTerm>& terms,
                               std::vector<PromisedTerm>* granted) {
  for (const PromisedTerm& requested : terms) {
    const VoterPromises::View view{
        .current = self.table.Find(requested.upstream),
        .claim_unresolved = self.claims->HasUnresolvedClaim(requested.upstream),
        .leader_declared_lost = self.table.IsDeclaredLost(leader)};
    if (!VoterPromises::MayPromise(leader, requested, view))
      continue;
    self.promises->Grant(requested.upstream, durations_.promise_duration,
                         Clock(self));
    granted->push_back(requested);
  }
}

void LeaseModel::Revise(Instance& self,
                        const std::string& upstream,
                        std::vector<Voter> voters,
                        std::chrono::nanoseconds hold) {
  LeaderLease& lease = self.leases.at(upstream);
  if (self.pending.contains(upstream))
    return;
  ModelRecord record;
  record.term = lease.term();
  record.term.kind = TermKind::kRevise;
  record.term.voters = voters;
  record.term.isolation_hold = hold;
  record.previous = lease.term().term;
  lease.BeginRevision(std::move(voters), hold);
  RequestPromises(self, upstream);
  SendChange(self, std::move(record));
}

void LeaseModel::HandOver(Instance& self,
                          const std::string& upstream,
                          const Instance& target) {
  LeaderLease& lease = self.leases.at(upstream);
  if (self.pending.contains(upstream) || &target == &self)
    return;
  ModelRecord record;
  record.term = lease.term();
  record.term.kind = TermKind::kHandover;
  record.term.leader = target.name;
  record.term.leader_zone = target.zone;
  record.term.voters = ChooseVoters(target, nullptr, {});
  record.term.wait = std::chrono::nanoseconds(0);
  record.term.active = true;
  record.previous = lease.term().term;
  lease.BeginHandover();
  SendChange(self, std::move(record));
}

void LeaseModel::SendChange(Instance& self, ModelRecord record) {
  record.id = "change-" + std::to_string(++record_ids_);
  self.pending[record.term.upstream] = record.id;
  self.pending_sent[record.term.upstream] = now_;
  AppendRecord(self, std::move(record));
}

std::vector<Voter> LeaseModel::ChooseVoters(
    const Instance& leader,
    const TermState* current,
    const std::vector<std::string>& unresponsive) {
  std::vector<Voter> voters;
  if (run_.random_voters) {
    for (const auto& instance : instances_) {
      if (instance.get() != &leader && !instance->down && Random(2) == 0)
        voters.push_back({instance->name, instance->zone, ""});
    }
    return voters;
  }
  VoterSelectionInput candidates;
  candidates.leader = leader.name;
  candidates.zone = leader.zone;
  candidates.region = RegionName(leader.zone);
  candidates.unresponsive = unresponsive;
  if (current)
    candidates.current = current->voters;
  for (const auto& instance : instances_) {
    ListedInstance listed;
    listed.name = instance->name;
    listed.zone = instance->zone;
    listed.region = RegionName(instance->zone);
    candidates.instances.push_back(listed);
  }
  return SelectVoters(candidates);
}

std::vector<std::string> LeaseModel::LiveInstances(
    const std::string& zone) const {
  std::vector<std::string> names;
  for (const auto& instance : instances_) {
    if (instance->zone == zone && !instance->down)
      names.push_back(instance->name);
  }
  return names;
}

}  // namespace pollenrudder
