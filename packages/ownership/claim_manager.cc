// Grants promises; sends first terms, claims and abandons.

#include "ownership/claim_manager.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ownership/ownership_events.h"
#include "ownership/rendezvous_score.h"
#include "ownership/term_rules.h"

namespace pollenrudder {

ClaimManager::ClaimManager(ControlContext& context)
    : context_(context),
      promises_(context.durations),
      claims_(context.options.instance,
              context.options.zone,
              context.durations) {}

void ClaimManager::OnTableChanged() {
  const auto& terms = context_.table().state().terms;
  for (const auto& [upstream, term] : terms) {
    LogOffset& reported = reported_terms_[upstream];
    if (reported == term.term)
      continue;
    reported = term.term;
    claims_.OnTermRead(term, context_.now.boot);
    context_.AddLogEvent(kTermRead, {{"upstream", upstream},
                                     {"term", term.term},
                                     {"kind", TermKindName(term.kind)},
                                     {"leader", term.leader}});
  }
  std::erase_if(reported_terms_, [&](const auto& entry) {
    if (terms.contains(entry.first))
      return false;
    claims_.RemoveUpstream(entry.first);
    promises_.RemoveUpstream(entry.first);
    return true;
  });
  std::erase_if(first_term_records_, [&](const auto& entry) {
    return !context_.appender.pending(entry.second);
  });
  claimable_upstreams_.clear();
  for (const auto& [upstream, term] : terms) {
    if (term.leader != context_.self() &&
        (claims_.IsVoter(term) ||
         MayReclaim(context_.document(), term, context_.self()))) {
      claimable_upstreams_.push_back(upstream);
    }
  }
}

void ClaimManager::OnOwnRecord(const LogRecord& record) {
  claims_.OnClaimRead(record.id);
  if (const auto* abandon = std::get_if<AbandonRecord>(&record.body)) {
    claims_.OnAbandonRead(abandon->record);
    abandon_records_.erase(abandon->record);
  }
}

void ClaimManager::OnLogReadToEnd(BootTime proof_time) {
  claims_.OnLogRead(proof_time, context_.now.boot);
}

void ClaimManager::OnLogReadFailed() {
  claims_.OnLogReadFailed();
}

void ClaimManager::OnPromiseRequested(const PromiseRequested& request) {
  SendPromiseResponse answer;
  answer.call_id = request.call_id;
  answer.applied_offset = context_.table().applied();
  for (const PromisedTerm& term : request.terms) {
    if (!MayPromise(request.leader, term)) {
      context_.AddLogEvent(kPromiseRefused, {{"upstream", term.upstream},
                                             {"term", term.term},
                                             {"leader", request.leader}});
      continue;
    }
    promises_.Grant(term.upstream, request.duration, context_.now.boot);
    answer.granted.push_back(term);
  }
  context_.AddAction(std::move(answer));
}

void ClaimManager::OnTick(const LeaseManager& leases) {
  AbandonClaims();
  if (!context_.MayAppend() || context_.IsSteppingDown())
    return;
  ProposeFirstTerms(leases);
  Claim(leases);
  ClaimDeclaredLost(leases);
}

std::optional<BootTime> ClaimManager::OwnPromiseExpiry(
    const std::string& upstream) const {
  return promises_.ExpiryTime(upstream);
}

void ClaimManager::ProposeFirstTerms(const LeaseManager& leases) {
  std::vector<std::string> candidates = {context_.self()};
  for (const ListedInstance& entry :
       context_.directory.AvailableEntries(context_.options.zone)) {
    if (entry.name != context_.self())
      candidates.push_back(entry.name);
  }
  const bool awaits_voter =
      candidates.size() == 1 &&
      context_.directory.ListAge(context_.now.boot) < kSameZoneVoterDelay;
  CandidateTimes candidate_times;
  TermRecord record;
  for (const ListedInstance& listed : context_.directory.instances()) {
    if (listed.kind != ListedInstance::Kind::kUpstream || listed.leaving ||
        listed.zone != context_.options.zone ||
        context_.table().FindTerm(listed.name) ||
        first_term_records_.contains(listed.name) ||
        !context_.document().FindService(listed.service)) {
      continue;
    }
    const auto since = first_term_candidates_.find(listed.name);
    candidate_times[listed.name] = since == first_term_candidates_.end()
                                       ? context_.now.boot
                                       : since->second;
    if (!awaits_voter && HasWaitedForRank(candidate_times, listed.name,
                                          candidates, kFirstTermDelay))
      record.entries.push_back(MakeFirstEntry(listed, leases));
  }
  first_term_candidates_ = std::move(candidate_times);
  if (record.entries.empty() || !context_.ReadyToAppend())
    return;
  std::vector<std::string> upstreams;
  for (const TermEntry& entry : record.entries) {
    upstreams.push_back(entry.upstream);
    context_.AddLogEvent(kFirstTermSent, {{"upstream", entry.upstream},
                                          {"service", entry.service}});
  }
  const std::string id = context_.Append(std::move(record));
  for (const std::string& upstream : upstreams)
    first_term_records_[upstream] = id;
}

void ClaimManager::Claim(const LeaseManager& leases) {
  TermRecord record;
  for (const std::string& upstream : claimable_upstreams_) {
    const TermState* const term = context_.table().FindTerm(upstream);
    if (!term)
      continue;
    const ClaimTracker::View view{
        .upstream = upstream,
        .current = term,
        .own_promise_expiry = promises_.ExpiryTime(upstream)};
    if (claims_.NeedsLogRead(view, context_.now.boot))
      context_.log_read_requested = true;
    if (claims_.MayClaim(view, context_.now.boot) || ShouldReclaim(*term))
      record.entries.push_back(MakeClaimEntry(*term, TermKind::kClaim, leases));
  }
  SendClaims(std::move(record));
}

bool ClaimManager::ShouldReclaim(const TermState& term) {
  return MayReclaim(context_.document(), term, context_.self()) &&
         !claims_.HasUnresolvedClaim(term.upstream) && context_.ReadyToAppend();
}

void ClaimManager::ClaimDeclaredLost(const LeaseManager& leases) {
  const auto& sections = context_.document().sections();
  const bool any_declared_lost =
      std::any_of(sections.begin(), sections.end(), [](const auto& entry) {
        return !entry.second.lost_zones.empty() ||
               !entry.second.lost_instances.empty();
      });
  if (!any_declared_lost) {
    declared_lost_candidates_.clear();
    return;
  }
  CandidateTimes candidate_times;
  TermRecord record;
  for (const auto& [upstream, term] : context_.table().state().terms) {
    if (!MayClaimDeclaredLost(context_.document(), term, context_.self()) ||
        IsDeclaredLost(context_.document(), term.service, context_.self(),
                       context_.options.zone) ||
        claims_.HasUnresolvedClaim(upstream)) {
      continue;
    }
    const auto since = declared_lost_candidates_.find(upstream);
    candidate_times[upstream] = since == declared_lost_candidates_.end()
                                    ? context_.now.boot
                                    : since->second;
    std::vector<std::string> candidates = {context_.self()};
    for (const ListedInstance& entry : context_.directory.instances()) {
      if (entry.kind == ListedInstance::Kind::kEntry && !entry.leaving &&
          entry.name != context_.self() &&
          !IsDeclaredLost(context_.document(), term.service, entry.name,
                          entry.zone)) {
        candidates.push_back(entry.name);
      }
    }
    // A term that this instance leads has no other candidate.
    if (term.leader == context_.self())
      candidates = {context_.self()};
    if (!HasWaitedForRank(candidate_times, upstream, candidates,
                          kDeclaredLostDelay))
      continue;
    const TermEntry entry =
        MakeClaimEntry(term, TermKind::kDeclaredLost, leases);
    const bool shortens_wait =
        term.leader != context_.self() || entry.wait < term.wait;
    if (shortens_wait && context_.ReadyToAppend())
      record.entries.push_back(entry);
  }
  declared_lost_candidates_ = std::move(candidate_times);
  SendClaims(std::move(record));
}

void ClaimManager::AbandonClaims() {
  if (!context_.MayAppend())
    return;
  std::set<std::string> due;
  for (const auto& [upstream, reported] : reported_terms_) {
    if (!claims_.HasUnresolvedClaim(upstream))
      continue;
    context_.log_read_requested = true;
    const std::optional<std::string> claim =
        claims_.TakeDueAbandon(upstream, context_.now.boot);
    if (claim && !abandon_records_.contains(*claim))
      due.insert(*claim);
  }
  for (const std::string& claim : due) {
    context_.appender.Withdraw(claim);
    abandon_records_[claim] = context_.Append(AbandonRecord{claim});
    context_.AddLogEvent(kAbandonSent, {{"record", claim}});
  }
}

bool ClaimManager::MayPromise(const std::string& leader,
                              const PromisedTerm& term) const {
  VoterPromises::View view;
  view.current = context_.table().FindTerm(term.upstream);
  view.claim_unresolved = claims_.HasUnresolvedClaim(term.upstream);
  if (view.current) {
    const ListedInstance* listed = context_.directory.FindEntry(leader);
    std::string zone = listed ? listed->zone : std::string();
    if (view.current->leader == leader)
      zone = view.current->leader_zone;
    view.leader_declared_lost = IsDeclaredLost(
        context_.document(), view.current->service, leader, zone);
  }
  return VoterPromises::MayPromise(leader, term, view);
}

bool ClaimManager::HasWaitedForRank(CandidateTimes& candidate_times,
                                    const std::string& upstream,
                                    const std::vector<std::string>& candidates,
                                    std::chrono::nanoseconds delay) {
  const std::size_t rank =
      RendezvousRank(upstream, context_.self(), candidates);
  return context_.now.boot >=
         candidate_times.at(upstream) + delay * static_cast<std::int64_t>(rank);
}

TermEntry ClaimManager::MakeFirstEntry(const ListedInstance& upstream,
                                       const LeaseManager& leases) const {
  TermEntry entry;
  entry.upstream = upstream.name;
  entry.service = upstream.service;
  entry.zone = upstream.zone;
  entry.region = upstream.region;
  entry.address = upstream.address;
  entry.kind = TermKind::kFirst;
  SetLeader(entry);
  entry.voters = leases.ChooseVoters(context_.self(), context_.options.zone,
                                     context_.options.region, {}, {});
  entry.isolation_hold =
      leases.IsolationHold(upstream.service, std::chrono::nanoseconds(0));
  return entry;
}

TermEntry ClaimManager::MakeClaimEntry(const TermState& current,
                                       TermKind kind,
                                       const LeaseManager& leases) const {
  TermEntry entry = EntryFromTerm(current, kind);
  SetLeader(entry);
  entry.voters = leases.ChooseVoters(context_.self(), context_.options.zone,
                                     context_.options.region, current.voters,
                                     {current.leader});
  entry.isolation_hold =
      leases.IsolationHold(current.service, current.isolation_hold);
  entry.wait = RequiredWait(context_.durations, context_.document(), current,
                            context_.self(), context_.options.zone, kind);
  return entry;
}

void ClaimManager::SetLeader(TermEntry& entry) const {
  entry.leader = context_.self();
  entry.leader_zone = context_.options.zone;
  entry.leader_forward_address = context_.options.forward_address;
  entry.leader_peer_address = context_.options.peer_address;
}

void ClaimManager::SendClaims(TermRecord record) {
  if (record.entries.empty())
    return;
  const std::vector<TermEntry> entries = record.entries;
  const std::string id = context_.Append(std::move(record));
  for (const TermEntry& entry : entries) {
    claims_.OnClaimSent(entry.upstream, entry.previous, id, context_.now.boot);
    context_.AddLogEvent(
        kClaimSent,
        {{"upstream", entry.upstream},
         {"term", entry.previous},
         {"kind", TermKindName(entry.kind)},
         {"wait_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(entry.wait)
              .count()}});
  }
}

}  // namespace pollenrudder
