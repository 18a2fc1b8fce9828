// The rules for granting a promise.

#include "ownership/voter_promises.h"

#include <algorithm>

namespace pollenrudder {

VoterPromises::VoterPromises(const LeaseDurations& durations)
    : durations_(durations) {}

bool VoterPromises::MayPromise(const std::string& leader,
                               const PromisedTerm& requested,
                               const View& view) {
  // The claim may be on the log already, and its wait may have started.
  if (view.claim_unresolved)
    return false;
  if (view.leader_declared_lost)
    return false;
  if (view.current == nullptr)
    return true;
  // A leader that has not read the outcome of its own revision yet still
  // requests the older term, and needs promises of both sets of voters.
  const bool same_leadership = view.current->leader == leader &&
                               (requested.term == kNoOffset ||
                                view.current->leader_fence <= requested.term);
  if (same_leadership)
    return true;
  return requested.term != kNoOffset && view.current->term < requested.term;
}

void VoterPromises::Grant(const std::string& upstream,
                          std::chrono::nanoseconds duration,
                          BootTime now) {
  const BootTime expiry = now + durations_.WithDriftMargin(duration);
  const auto [entry, added] = expiry_times_.try_emplace(upstream, expiry);
  if (!added)
    entry->second = std::max(entry->second, expiry);
}

std::optional<BootTime> VoterPromises::ExpiryTime(
    const std::string& upstream) const {
  const auto expiry = expiry_times_.find(upstream);
  if (expiry == expiry_times_.end())
    return std::nullopt;
  return expiry->second;
}

bool VoterPromises::HasExpired(const std::string& upstream,
                               BootTime now) const {
  const auto expiry = expiry_times_.find(upstream);
  return expiry == expiry_times_.end() || expiry->second <= now;
}

void VoterPromises::RemoveUpstream(const std::string& upstream) {
  expiry_times_.erase(upstream);
}

}  // namespace pollenrudder
