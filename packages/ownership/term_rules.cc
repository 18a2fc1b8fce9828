// The rules of docs/design.md, section 3, that depend on the log alone.

#include "ownership/term_rules.h"

#include <algorithm>

namespace pollenrudder {
namespace {

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsVoter(const TermState& term, std::string_view instance) {
  return std::any_of(
      term.voters.begin(), term.voters.end(),
      [&](const Voter& voter) { return voter.instance == instance; });
}

bool IsClaim(TermKind kind) {
  return kind == TermKind::kClaim || kind == TermKind::kDeclaredLost;
}

// Whether the leader of `current`, which waits to become active, may shorten
// its wait because the leader that it waits for is declared lost.
bool IsReplacedLeaderDeclaredLost(const Document& document,
                                  const TermState& current,
                                  std::string_view claimant) {
  return !current.active && current.leader == claimant &&
         !current.replaced_leader.empty() &&
         IsDeclaredLost(document, current.service, current.replaced_leader,
                        current.replaced_leader_zone);
}

std::string CheckClaim(const LeaseDurations& durations,
                       const Document& document,
                       const TermState& current,
                       const TermEntry& entry,
                       std::string_view by) {
  if (entry.leader != by)
    return "claimed for another instance";
  if (entry.kind == TermKind::kClaim && !IsVoter(current, by) &&
      !MayReclaim(document, current, by)) {
    return "claimant is not a voter";
  }
  if (entry.kind == TermKind::kDeclaredLost &&
      !MayClaimDeclaredLost(document, current, by)) {
    return "leader is not declared lost";
  }
  if (entry.wait < RequiredWait(durations, document, current, by,
                                entry.leader_zone, entry.kind)) {
    return "wait is too short";
  }
  return {};
}

std::string CheckRevisionOrHandover(const TermState& current,
                                    const TermEntry& entry,
                                    std::string_view by) {
  if (current.leader != by)
    return "not written by the leader";
  if (entry.kind == TermKind::kRevise) {
    return entry.leader == current.leader &&
                   entry.leader_zone == current.leader_zone
               ? std::string()
               : "revise changes the leader";
  }
  if (entry.leader == current.leader)
    return "handover to the leader itself";
  return current.active ? std::string() : "handover before the term is active";
}

}  // namespace

bool IsDeclaredLost(const Document& document,
                    std::string_view service,
                    std::string_view instance,
                    std::string_view zone) {
  const Section* section = document.FindSectionOfService(service);
  if (!section)
    return false;
  const std::string_view name = instance.substr(0, instance.rfind('.'));
  return Contains(section->lost_zones, zone) ||
         Contains(section->lost_instances, instance) ||
         Contains(section->lost_instances, name);
}

bool MayReclaim(const Document& document,
                const TermState& current,
                std::string_view claimant) {
  return !current.active && current.replaced_leader == claimant &&
         current.replaced_leader_zone != current.leader_zone &&
         !IsDeclaredLost(document, current.service, claimant,
                         current.replaced_leader_zone);
}

bool MayClaimDeclaredLost(const Document& document,
                          const TermState& current,
                          std::string_view claimant) {
  return IsDeclaredLost(document, current.service, current.leader,
                        current.leader_zone) ||
         IsReplacedLeaderDeclaredLost(document, current, claimant);
}

std::chrono::nanoseconds RequiredWait(const LeaseDurations& durations,
                                      const Document& document,
                                      const TermState& current,
                                      std::string_view claimant,
                                      std::string_view claimant_zone,
                                      TermKind kind) {
  std::chrono::nanoseconds lease = durations.log_lease_duration;
  // The leader of `current` has not served, and its wait covers only the lease
  // of the claimant itself.
  if (kind == TermKind::kClaim && MayReclaim(document, current, claimant))
    return durations.WithDriftMargin(lease);
  if (kind == TermKind::kDeclaredLost) {
    lease = std::max(lease, durations.promise_duration);
    // The claimant has not served in its own inactive term, and the wait of
    // that term covers only the lease of a leader that is declared lost.
    if (IsReplacedLeaderDeclaredLost(document, current, claimant))
      return durations.WithDriftMargin(lease);
  } else if (claimant_zone != current.leader_zone) {
    lease = std::max(lease, current.isolation_hold);
  }
  const std::chrono::nanoseconds wait = durations.WithDriftMargin(lease);
  return current.active ? wait : std::max(wait, current.wait);
}

std::string CheckTermEntry(const LeaseDurations& durations,
                           const Document& document,
                           const TermState* current,
                           const TermEntry& entry,
                           std::string_view by) {
  if (entry.previous != (current ? current->term : kNoOffset))
    return "another term is current";
  if (entry.upstream.empty() || entry.leader.empty())
    return "upstream or leader is missing";
  if (!current) {
    if (entry.kind != TermKind::kFirst)
      return "no term to replace";
    return entry.leader == by ? std::string() : "claimed for another instance";
  }
  if (entry.service != current->service)
    return "the service of an upstream is fixed";
  switch (entry.kind) {
    case TermKind::kFirst:
      return "not the first term";
    case TermKind::kClaim:
    case TermKind::kDeclaredLost:
      return CheckClaim(durations, document, *current, entry, by);
    case TermKind::kHandover:
    case TermKind::kRevise:
      return CheckRevisionOrHandover(*current, entry, by);
  }
  return "unknown kind";
}

TermState MakeTerm(const TermState* current,
                   const TermEntry& entry,
                   LogOffset offset,
                   const std::string& record_id) {
  TermState term;
  term.upstream = entry.upstream;
  term.service = entry.service;
  term.zone = entry.zone;
  term.region = entry.region;
  term.address = entry.address;
  term.term = offset;
  term.record_id = record_id;
  term.kind = entry.kind;
  term.leader_fence = offset;
  term.leader = entry.leader;
  term.leader_zone = entry.leader_zone;
  term.leader_forward_address = entry.leader_forward_address;
  term.leader_peer_address = entry.leader_peer_address;
  term.voters = entry.voters;
  term.isolation_hold = entry.isolation_hold;
  term.active = !IsClaim(entry.kind);
  term.lost = current != nullptr && current->lost;
  if (entry.kind == TermKind::kRevise) {
    term.leader_fence = current->leader_fence;
    term.wait = current->wait;
    term.active = current->active;
    term.replaced_leader = current->replaced_leader;
    term.replaced_leader_zone = current->replaced_leader_zone;
  } else if (IsClaim(entry.kind)) {
    term.wait = entry.wait;
    if (current->active) {
      term.replaced_leader = current->leader;
      term.replaced_leader_zone = current->leader_zone;
    }
  }
  return term;
}

}  // namespace pollenrudder
