// The rules for the time of a claim and for its outcome.

#include "ownership/claim_tracker.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <utility>
#include <vector>

#include "ownership/rendezvous_score.h"

namespace pollenrudder {

ClaimTracker::ClaimTracker(std::string instance,
                           std::string zone,
                           const LeaseDurations& durations)
    : instance_(std::move(instance)),
      zone_(std::move(zone)),
      durations_(durations) {}

std::chrono::nanoseconds ClaimTracker::RequiredWait(
    const TermState& replaced,
    TermKind kind,
    const std::string& zone,
    const LeaseDurations& durations) {
  std::chrono::nanoseconds lease = durations.log_lease_duration;
  if (kind == TermKind::kDeclaredLost) {
    lease = std::max(lease, durations.promise_duration);
  } else if (zone != replaced.leader_zone) {
    lease = std::max(lease, replaced.isolation_hold);
  }
  std::chrono::nanoseconds wait = durations.WithDriftMargin(lease);
  // The replaced leader may still be waiting for the lease of an earlier
  // leader. Declaring the replaced leader lost does not end that lease.
  if (!replaced.active)
    wait = std::max(wait, replaced.wait);
  return wait;
}

TermKind ClaimTracker::ClaimKind(const View& view) {
  if (view.current == nullptr)
    return TermKind::kFirst;
  return view.claimable_since ? TermKind::kDeclaredLost : TermKind::kClaim;
}

bool ClaimTracker::IsVoter(const TermState& current) const {
  return std::any_of(
      current.voters.begin(), current.voters.end(),
      [this](const Voter& voter) { return voter.instance == instance_; });
}

void ClaimTracker::OnLogRead(BootTime proof_time, BootTime now) {
  if (!last_proof_time_ || *last_proof_time_ < proof_time)
    last_proof_time_ = proof_time;
  if (!log_readable_since_)
    log_readable_since_ = now;
}

void ClaimTracker::OnLogReadFailed() {
  log_readable_since_.reset();
}

void ClaimTracker::OnTermRead(const TermState& current, BootTime now) {
  term_read_at_[current.upstream] = now;
  // The claim replaces an older term, so replay ignores it at any offset.
  const auto claim = claims_.find(current.upstream);
  if (claim != claims_.end() && claim->second.previous < current.term)
    claims_.erase(claim);
}

std::optional<BootTime> ClaimTracker::ClaimTime(const View& view) const {
  if (HasUnresolvedClaim(view.upstream) || !log_readable_since_)
    return std::nullopt;
  if (ClaimKind(view) == TermKind::kClaim)
    return VoterClaimTime(view);
  if (!view.claimable_since)
    return std::nullopt;
  BootTime time = *view.claimable_since +
                  kRankDelay * RendezvousRank(view.upstream, instance_,
                                              view.zone_instances);
  // An instance of another availability zone claims only if no instance of the
  // upstream's zone does so first.
  if (std::find(view.zone_instances.begin(), view.zone_instances.end(),
                instance_) == view.zone_instances.end()) {
    time += kMinOtherZoneDelay;
  }
  if (view.own_promise_expiry)
    time = std::max(time, *view.own_promise_expiry);
  return time;
}

bool ClaimTracker::MayClaim(const View& view, BootTime now) const {
  const std::optional<BootTime> time = ClaimTime(view);
  return time && *time <= now && HasRecentLogRead(now);
}

bool ClaimTracker::NeedsLogRead(const View& view, BootTime now) const {
  const std::optional<BootTime> time = ClaimTime(view);
  return time && *time <= now && !HasRecentLogRead(now);
}

void ClaimTracker::OnClaimSent(const std::string& upstream,
                               LogOffset previous,
                               const std::string& record_id,
                               BootTime now) {
  assert(!HasUnresolvedClaim(upstream));
  claims_[upstream] = Claim{previous, record_id, now};
}

void ClaimTracker::OnClaimRead(const std::string& record_id) {
  RemoveClaim(record_id);
}

void ClaimTracker::OnAbandonRead(const std::string& record_id) {
  RemoveClaim(record_id);
}

std::optional<std::string> ClaimTracker::TakeDueAbandon(
    const std::string& upstream,
    BootTime now) {
  const auto claim = claims_.find(upstream);
  if (claim == claims_.end() || now < claim->second.last_sent + kAbandonAfter)
    return std::nullopt;
  claim->second.last_sent = now;
  return claim->second.record_id;
}

bool ClaimTracker::HasUnresolvedClaim(const std::string& upstream) const {
  return claims_.contains(upstream);
}

void ClaimTracker::RemoveUpstream(const std::string& upstream) {
  claims_.erase(upstream);
  term_read_at_.erase(upstream);
}

bool ClaimTracker::HasRecentLogRead(BootTime now) const {
  return last_proof_time_ &&
         now - *last_proof_time_ < durations_.log_lease_duration;
}

void ClaimTracker::RemoveClaim(const std::string& record_id) {
  std::erase_if(claims_, [&](const auto& entry) {
    return entry.second.record_id == record_id;
  });
}

std::optional<BootTime> ClaimTracker::VoterClaimTime(const View& view) const {
  const TermState& current = *view.current;
  const auto read_at = term_read_at_.find(view.upstream);
  if (!IsVoter(current) || read_at == term_read_at_.end())
    return std::nullopt;
  // The leader of a new term has the duration of one promise to request its
  // first promises.
  BootTime earliest =
      read_at->second + durations_.WithDriftMargin(durations_.promise_duration);
  if (view.own_promise_expiry)
    earliest = std::max(earliest, *view.own_promise_expiry);
  return std::max(earliest, *log_readable_since_) + VoterDelay(current);
}

std::chrono::nanoseconds ClaimTracker::VoterDelay(
    const TermState& current) const {
  std::vector<std::string> group;
  for (const Voter& voter : current.voters) {
    if ((voter.zone == current.leader_zone) == (zone_ == current.leader_zone))
      group.push_back(voter.instance);
  }
  const std::size_t rank = RendezvousRank(current.upstream, instance_, group);
  std::chrono::nanoseconds delay = kRankDelay * rank;
  if (zone_ != current.leader_zone) {
    delay += std::max<std::chrono::nanoseconds>(
        kMinOtherZoneDelay, current.isolation_hold / kOtherZoneDelayDivisor);
  }
  return delay;
}

}  // namespace pollenrudder
