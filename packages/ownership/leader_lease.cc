// Computes the end of a lease from log reads and promises.

#include "ownership/leader_lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {
namespace {

bool IsClaim(TermKind kind) {
  return kind == TermKind::kClaim || kind == TermKind::kDeclaredLost;
}

}  // namespace

LeaderLease::LeaderLease(TermState term,
                         const LeaseDurations& durations,
                         BootTime read_at,
                         std::optional<BootTime> own_promise_expiry)
    : term_(std::move(term)), durations_(durations), active_from_(read_at) {
  if (!IsClaim(term_.kind))
    return;
  active_from_ = read_at + term_.wait;
  if (own_promise_expiry)
    active_from_ = std::max(active_from_, *own_promise_expiry);
}

void LeaderLease::OnLogRead(BootTime proof_time,
                            bool reached_end,
                            LogOffset current_term) {
  if (current_term != term_.term) {
    End();
    return;
  }
  if (!reached_end)
    return;
  if (!log_proof_time_ || *log_proof_time_ < proof_time)
    log_proof_time_ = proof_time;
}

void LeaderLease::OnPromise(const std::string& voter,
                            BootTime requested_at,
                            const std::vector<PromisedTerm>& granted) {
  const bool is_relevant = std::any_of(
      granted.begin(), granted.end(), [this](const PromisedTerm& promised) {
        return promised.upstream == term_.upstream &&
               (promised.term == term_.term ||
                (pending_revision_ && promised.term == kNoOffset));
      });
  if (!is_relevant)
    return;
  const auto [entry, added] = promise_times_.try_emplace(voter, requested_at);
  if (!added)
    entry->second = std::max(entry->second, requested_at);
}

void LeaderLease::BeginRevision(std::vector<Voter> voters,
                                std::chrono::nanoseconds isolation_hold) {
  assert(!pending_revision_ && !handing_over_);
  pending_revision_ = PendingRevision{std::move(voters), isolation_hold};
}

void LeaderLease::FinishRevision(TermState term) {
  assert(term.leader == term_.leader);
  term_ = std::move(term);
  pending_revision_.reset();
}

void LeaderLease::AbandonRevision() {
  pending_revision_.reset();
}

void LeaderLease::BeginHandover() {
  handing_over_ = true;
}

void LeaderLease::AbandonHandover() {
  handing_over_ = false;
}

void LeaderLease::End() {
  ended_ = true;
}

BootTime LeaderLease::ValidUntil() const {
  if (ended_ || handing_over_)
    return BootTime::min();
  BootTime end = BootTime::min();

  if (log_proof_time_)
    end = *log_proof_time_ + durations_.log_lease_duration;

  const std::optional<BootTime> same_zone = OldestPromiseTime(true);
  const std::optional<BootTime> other_zone = OldestPromiseTime(false);
  const bool same_zone_complete = same_zone || !HasVoter(true);
  const bool other_zone_complete = other_zone || !HasVoter(false);
  const BootTime same_zone_end =
      same_zone ? *same_zone + durations_.promise_duration : BootTime::max();
  const BootTime other_zone_end =
      other_zone ? *other_zone + durations_.promise_duration : BootTime::max();

  if ((same_zone || other_zone) && same_zone_complete && other_zone_complete)
    end = std::max(end, std::min(same_zone_end, other_zone_end));

  // While the promises of all same-zone voters are valid, only an other-zone
  // voter can claim, and its claim waits for the isolation hold.
  const std::optional<BootTime> last_contact =
      std::max(log_proof_time_, other_zone);
  if (same_zone_complete && last_contact) {
    end =
        std::max(end, std::min(same_zone_end, *last_contact + IsolationHold()));
  }
  return end;
}

bool LeaderLease::active(BootTime now) const {
  return now >= active_from_ && now < ValidUntil();
}

std::vector<Voter> LeaderLease::RequiredVoters() const {
  std::vector<Voter> voters;
  VisitRequiredVoters([&](const Voter& voter) {
    voters.push_back(voter);
    return true;
  });
  return voters;
}

std::vector<PromisedTerm> LeaderLease::TermsToRequest() const {
  std::vector<PromisedTerm> terms = {{term_.upstream, term_.term}};
  if (pending_revision_)
    terms.push_back({term_.upstream, kNoOffset});
  return terms;
}

bool LeaderLease::HasAllPromises(BootTime now) const {
  bool has_voter = false;
  VisitRequiredVoters([&](const Voter&) {
    has_voter = true;
    return false;
  });
  return has_voter &&
         UnresponsiveVoters(now - durations_.promise_duration).empty();
}

std::vector<std::string> LeaderLease::UnresponsiveVoters(BootTime limit) const {
  std::vector<std::string> unresponsive;
  VisitRequiredVoters([&](const Voter& voter) {
    const auto promise = promise_times_.find(voter.instance);
    if (promise == promise_times_.end() || promise->second < limit)
      unresponsive.push_back(voter.instance);
    return true;
  });
  return unresponsive;
}

std::chrono::nanoseconds LeaderLease::IsolationHold() const {
  if (!pending_revision_)
    return term_.isolation_hold;
  return std::min(term_.isolation_hold, pending_revision_->isolation_hold);
}

std::optional<BootTime> LeaderLease::OldestPromiseTime(
    bool in_leader_zone) const {
  std::optional<BootTime> oldest;
  VisitRequiredVoters([&](const Voter& voter) {
    if ((voter.zone == term_.leader_zone) != in_leader_zone)
      return true;
    const auto promise = promise_times_.find(voter.instance);
    if (promise == promise_times_.end()) {
      oldest.reset();
      return false;
    }
    oldest = oldest ? std::min(*oldest, promise->second) : promise->second;
    return true;
  });
  return oldest;
}

bool LeaderLease::HasVoter(bool in_leader_zone) const {
  bool found = false;
  VisitRequiredVoters([&](const Voter& voter) {
    found = (voter.zone == term_.leader_zone) == in_leader_zone;
    return !found;
  });
  return found;
}

bool LeaderLease::IsCurrentVoter(const Voter& voter) const {
  return std::any_of(
      term_.voters.begin(), term_.voters.end(),
      [&](const Voter& other) { return other.instance == voter.instance; });
}

template <typename Visitor>
void LeaderLease::VisitRequiredVoters(Visitor visit) const {
  for (const Voter& voter : term_.voters) {
    if (!visit(voter))
      return;
  }
  if (!pending_revision_)
    return;
  for (const Voter& voter : pending_revision_->voters) {
    if (!IsCurrentVoter(voter) && !visit(voter))
      return;
  }
}

}  // namespace pollenrudder
