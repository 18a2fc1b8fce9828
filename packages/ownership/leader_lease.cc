// The proofs that extend a leader's lease.

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
  if (!log_proof_ || *log_proof_ < proof_time)
    log_proof_ = proof_time;
}

void LeaderLease::OnPromise(const std::string& voter,
                            BootTime asked_at,
                            const std::vector<PromisedTerm>& granted) {
  const bool counts = std::any_of(
      granted.begin(), granted.end(), [this](const PromisedTerm& promised) {
        return promised.upstream == term_.upstream &&
               (promised.term == term_.term ||
                (revise_ && promised.term == kNoOffset));
      });
  if (!counts)
    return;
  const auto [entry, added] = promises_.try_emplace(voter, asked_at);
  if (!added)
    entry->second = std::max(entry->second, asked_at);
}

void LeaderLease::BeginRevision(std::vector<Voter> voters,
                                std::chrono::nanoseconds isolation_hold) {
  assert(!revise_ && !handing_over_);
  revise_ = PendingRevise{std::move(voters), isolation_hold};
}

void LeaderLease::FinishRevision(TermState term) {
  assert(term.leader == term_.leader);
  term_ = std::move(term);
  revise_.reset();
}

void LeaderLease::AbandonRevision() {
  revise_.reset();
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

  if (log_proof_)
    end = *log_proof_ + durations_.log_lease_duration;

  const std::optional<BootTime> near = OldestPromise(true);
  const std::optional<BootTime> far = OldestPromise(false);
  const bool near_complete = near || !HasVoter(true);
  const bool far_complete = far || !HasVoter(false);
  const BootTime near_end =
      near ? *near + durations_.promise_duration : BootTime::max();
  const BootTime far_end =
      far ? *far + durations_.promise_duration : BootTime::max();

  if ((near || far) && near_complete && far_complete)
    end = std::max(end, std::min(near_end, far_end));

  // Only a voter of another zone can claim without the promise of a zone peer,
  // and it waits for the hold after its claim is on the log.
  const std::optional<BootTime> last_contact = std::max(log_proof_, far);
  if (near_complete && last_contact) {
    end = std::max(end, std::min(near_end, *last_contact + IsolationHold()));
  }
  return end;
}

bool LeaderLease::active(BootTime now) const {
  return now >= active_from_ && now < ValidUntil();
}

std::vector<Voter> LeaderLease::RequiredVoters() const {
  std::vector<Voter> voters;
  VisitNeededVoters([&](const Voter& voter) {
    voters.push_back(voter);
    return true;
  });
  return voters;
}

std::vector<PromisedTerm> LeaderLease::TermsToRequest() const {
  std::vector<PromisedTerm> terms = {{term_.upstream, term_.term}};
  if (revise_)
    terms.push_back({term_.upstream, kNoOffset});
  return terms;
}

bool LeaderLease::HasAllPromises(BootTime now) const {
  bool has_voter = false;
  VisitNeededVoters([&](const Voter&) {
    has_voter = true;
    return false;
  });
  return has_voter &&
         UnresponsiveVoters(now - durations_.promise_duration).empty();
}

std::vector<std::string> LeaderLease::UnresponsiveVoters(BootTime limit) const {
  std::vector<std::string> unresponsive;
  VisitNeededVoters([&](const Voter& voter) {
    const auto promise_duration = promises_.find(voter.instance);
    if (promise_duration == promises_.end() || promise_duration->second < limit)
      unresponsive.push_back(voter.instance);
    return true;
  });
  return unresponsive;
}

std::chrono::nanoseconds LeaderLease::IsolationHold() const {
  if (!revise_)
    return term_.isolation_hold;
  return std::min(term_.isolation_hold, revise_->isolation_hold);
}

std::optional<BootTime> LeaderLease::OldestPromise(bool zone_peers) const {
  std::optional<BootTime> oldest;
  VisitNeededVoters([&](const Voter& voter) {
    if ((voter.zone == term_.leader_zone) != zone_peers)
      return true;
    const auto promise_duration = promises_.find(voter.instance);
    if (promise_duration == promises_.end()) {
      oldest.reset();
      return false;
    }
    oldest = oldest ? std::min(*oldest, promise_duration->second)
                    : promise_duration->second;
    return true;
  });
  return oldest;
}

bool LeaderLease::HasVoter(bool zone_peers) const {
  bool found = false;
  VisitNeededVoters([&](const Voter& voter) {
    found = (voter.zone == term_.leader_zone) == zone_peers;
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
void LeaderLease::VisitNeededVoters(Visitor visit) const {
  for (const Voter& voter : term_.voters) {
    if (!visit(voter))
      return;
  }
  if (!revise_)
    return;
  for (const Voter& voter : revise_->voters) {
    if (!IsCurrentVoter(voter) && !visit(voter))
      return;
  }
}

}  // namespace pollenrudder
