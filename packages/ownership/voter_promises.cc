// The rules for making a promise.

#include "ownership/voter_promises.h"

#include <algorithm>

namespace pollenrudder {

VoterPromises::VoterPromises(const LeaseDurations& durations)
    : durations_(durations) {}

bool VoterPromises::MayPromise(const std::string& leader,
                               const PromisedTerm& requested,
                               const View& view) {
  // The claim may already be on the log, so that its wait is running.
  if (view.claim_unresolved)
    return false;
  if (view.leader_declared_lost)
    return false;
  if (view.current == nullptr)
    return true;
  // The leader may not yet have read the outcome of its own revise. It then
  // still asks for the older term, with the promises of both sets of voters.
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
  const BootTime end = now + durations_.WithDriftMargin(duration);
  const auto [entry, added] = ends_.try_emplace(upstream, end);
  if (!added)
    entry->second = std::max(entry->second, end);
}

std::optional<BootTime> VoterPromises::ExpiryTime(
    const std::string& upstream) const {
  const auto end = ends_.find(upstream);
  if (end == ends_.end())
    return std::nullopt;
  return end->second;
}

bool VoterPromises::HasExpired(const std::string& upstream,
                               BootTime now) const {
  const auto end = ends_.find(upstream);
  return end == ends_.end() || end->second <= now;
}

void VoterPromises::RemoveUpstream(const std::string& upstream) {
  ends_.erase(upstream);
}

}  // namespace pollenrudder
