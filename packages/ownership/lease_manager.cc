// Maintains the leases of the led terms: heartbeats, revisions, lease ends.

#include "ownership/lease_manager.h"

#include <algorithm>
#include <utility>

#include "ownership/ownership_events.h"
#include "ownership/voter_selection.h"

namespace pollenrudder {
namespace {

bool SameVoters(const std::vector<Voter>& left,
                const std::vector<Voter>& right) {
  return std::is_permutation(left.begin(), left.end(), right.begin(),
                             right.end());
}

std::string JoinVoters(const std::vector<Voter>& voters) {
  std::string names;
  for (const Voter& voter : voters) {
    if (!names.empty())
      names += ",";
    names += voter.instance;
  }
  return names;
}

}  // namespace

TermEntry EntryFromTerm(const TermState& term, TermKind kind) {
  TermEntry entry;
  entry.upstream = term.upstream;
  entry.service = term.service;
  entry.zone = term.zone;
  entry.region = term.region;
  entry.address = term.address;
  entry.previous = term.term;
  entry.kind = kind;
  entry.leader = term.leader;
  entry.leader_zone = term.leader_zone;
  entry.leader_forward_address = term.leader_forward_address;
  entry.leader_peer_address = term.leader_peer_address;
  entry.voters = term.voters;
  entry.isolation_hold = term.isolation_hold;
  return entry;
}

LeaseManager::LeaseManager(ControlContext& context,
                           OwnPromiseExpiry own_promise_expiry)
    : context_(context), own_promise_expiry_(std::move(own_promise_expiry)) {}

void LeaseManager::OnTableChanged() {
  const auto& terms = context_.table().state().terms;
  for (auto led = led_terms_.begin(); led != led_terms_.end();) {
    const auto term = terms.find(led->first);
    const TermState& own = led->second.lease.term();
    const bool ended = term == terms.end() ||
                       term->second.leader_fence != own.leader_fence ||
                       term->second.leader != context_.self();
    if (!ended) {
      UpdateLease(led->second, term->second);
      ++led;
      continue;
    }
    context_.AddAction(SetLease{led->first, own.leader_fence, BootTime{}});
    context_.AddLogEvent(kLeadershipEnded,
                         {{"upstream", led->first}, {"term", own.term}});
    led = led_terms_.erase(led);
  }
  for (const auto& [upstream, term] : terms) {
    if (term.leader == context_.self() && !led_terms_.contains(upstream))
      StartLease(term);
  }
}

void LeaseManager::OnLogRead(BootTime proof_time, bool reached_end) {
  for (auto& [upstream, led] : led_terms_)
    led.lease.OnLogRead(proof_time, reached_end, led.lease.term().term);
}

void LeaseManager::OnPromise(const PromiseAnswered& answer) {
  if (!answer.answered)
    return;
  for (auto& [upstream, led] : led_terms_)
    led.lease.OnPromise(answer.voter, answer.requested_at, answer.granted);
}

void LeaseManager::OnTick() {
  const BootTime now = context_.now.boot;
  if (!last_heartbeat_ ||
      now >= *last_heartbeat_ + context_.options.heartbeat_interval) {
    last_heartbeat_ = now;
    SendHeartbeats();
  }
  ReviseVoters();
  for (auto& [upstream, led] : led_terms_) {
    LogTransition(led);
    RecordActive(led);
  }
}

void LeaseManager::PublishLeases() {
  Publish(/*only_shorter=*/false);
}

void LeaseManager::PublishShorterLeases() {
  Publish(/*only_shorter=*/true);
}

void LeaseManager::Publish(bool only_shorter) {
  for (auto& [upstream, led] : led_terms_) {
    if (context_.now.boot < led.lease.active_from() ||
        !IsRecordedActive(upstream)) {
      continue;
    }
    const BootTime end = std::max(led.lease.ValidUntil(), BootTime{});
    if (led.published_end == end || (!led.published_end && end == BootTime{}))
      continue;
    if (only_shorter && (!led.published_end || *led.published_end < end))
      continue;
    led.published_end = end;
    context_.AddAction(SetLease{upstream, led.lease.term().leader_fence, end});
  }
}

bool LeaseManager::IsActive(std::string_view upstream) const {
  const LeaderLease* lease = Find(upstream);
  return lease && lease->active(context_.now.boot) &&
         IsRecordedActive(upstream);
}

bool LeaseManager::IsRecordedActive(std::string_view upstream) const {
  const TermState* term = context_.table().FindTerm(upstream);
  return term && term->active;
}

LeaderLease* LeaseManager::Find(std::string_view upstream) {
  const auto led = led_terms_.find(upstream);
  return led == led_terms_.end() ? nullptr : &led->second.lease;
}

const LeaderLease* LeaseManager::Find(std::string_view upstream) const {
  const auto led = led_terms_.find(upstream);
  return led == led_terms_.end() ? nullptr : &led->second.lease;
}

std::vector<std::string> LeaseManager::LedUpstreams() const {
  std::vector<std::string> upstreams;
  upstreams.reserve(led_terms_.size());
  for (const auto& [upstream, led] : led_terms_)
    upstreams.push_back(upstream);
  return upstreams;
}

bool LeaseManager::NeedsLogRead() const {
  return std::any_of(
      led_terms_.begin(), led_terms_.end(), [this](const auto& entry) {
        return !entry.second.lease.HasAllPromises(context_.now.boot);
      });
}

std::vector<Voter> LeaseManager::ChooseVoters(
    const std::string& leader,
    const std::string& zone,
    const std::string& region,
    const std::vector<Voter>& current,
    std::vector<std::string> unresponsive) const {
  return SelectVoters({leader, zone, region, context_.directory.instances(),
                       current, std::move(unresponsive)});
}

std::chrono::nanoseconds LeaseManager::IsolationHold(
    const std::string& service,
    std::chrono::nanoseconds otherwise) const {
  const ServiceSettings* settings = context_.document().FindService(service);
  return settings ? std::chrono::nanoseconds(settings->isolation_hold)
                  : otherwise;
}

void LeaseManager::StartLease(const TermState& term) {
  LedTerm led{LeaderLease(term, context_.durations, context_.now.boot,
                          own_promise_expiry_(term.upstream)),
              context_.now.boot,
              std::nullopt,
              false,
              {},
              {}};
  led_terms_.emplace(term.upstream, std::move(led));
  // Requests the first promises at the next tick.
  last_heartbeat_.reset();
}

void LeaseManager::UpdateLease(LedTerm& led, const TermState& term) {
  if (term.term != led.lease.term().term) {
    led.lease.FinishRevision(term);
    led.revision_record.clear();
    led.voters_changed_at = context_.now.boot;
    last_heartbeat_.reset();
    return;
  }
  if (led.lease.revising() && !context_.appender.pending(led.revision_record)) {
    led.lease.AbandonRevision();
    led.revision_record.clear();
  }
}

void LeaseManager::RecordActive(LedTerm& led) {
  const TermState* term = context_.table().FindTerm(led.lease.term().upstream);
  if (!term || term->active || !led.lease.active(context_.now.boot) ||
      context_.appender.pending(led.active_record) || !context_.MayAppend()) {
    return;
  }
  led.active_record = context_.Append(ActiveRecord{term->upstream, term->term});
}

void LeaseManager::LogTransition(LedTerm& led) {
  const bool active = IsActive(led.lease.term().upstream);
  if (active == led.was_active)
    return;
  led.was_active = active;
  const TermState& term = led.lease.term();
  const bool is_first = !led.published_end || *led.published_end == BootTime{};
  const LogEvent& event = !active    ? kLeaseLapsed
                          : is_first ? kLeadershipStarted
                                     : kLeaseRegained;
  context_.AddLogEvent(event, {{"upstream", term.upstream},
                               {"term", term.term},
                               {"fence", term.leader_fence}});
}

void LeaseManager::SendHeartbeats() {
  std::map<std::string, SendPromiseRequest> requests;
  for (const auto& [upstream, led] : led_terms_) {
    const std::vector<PromisedTerm> terms = led.lease.TermsToRequest();
    for (const Voter& voter : led.lease.RequiredVoters()) {
      SendPromiseRequest& request = requests[voter.instance];
      request.voter = voter.instance;
      request.peer_address = voter.peer_address;
      request.duration = context_.durations.promise_duration;
      request.terms.insert(request.terms.end(), terms.begin(), terms.end());
    }
  }
  for (auto& [voter, request] : requests)
    context_.AddAction(std::move(request));
}

void LeaseManager::UpdateExcludedInstances() {
  const BootTime now = context_.now.boot;
  std::erase_if(excluded_until_,
                [&](const auto& entry) { return entry.second <= now; });
  for (const auto& [upstream, led] : led_terms_) {
    if (now < led.voters_changed_at + kRevisionInterval ||
        !led.lease.active(now))
      continue;
    for (const std::string& voter :
         led.lease.UnresponsiveVoters(now - kVoterTimeout))
      excluded_until_[voter] = now + kUnresponsiveExclusion;
  }
}

void LeaseManager::ReviseVoters() {
  UpdateExcludedInstances();
  if (!context_.directory.has_list() || !context_.MayAppend())
    return;
  TermRecord record;
  std::vector<LedTerm*> revised;
  for (auto& [upstream, led] : led_terms_) {
    std::optional<TermEntry> entry = MakeRevisionEntry(led);
    if (!entry)
      continue;
    if (!context_.ReadyToAppend())
      return;
    record.entries.push_back(std::move(*entry));
    revised.push_back(&led);
  }
  if (revised.empty())
    return;
  for (std::size_t index = 0; index < revised.size(); ++index) {
    const TermEntry& entry = record.entries[index];
    revised[index]->lease.BeginRevision(entry.voters, entry.isolation_hold);
    context_.AddLogEvent(kReviseSent, {{"upstream", entry.upstream},
                                       {"term", entry.previous},
                                       {"voters", JoinVoters(entry.voters)}});
  }
  // The shorter lease must apply before the record can take effect.
  PublishShorterLeases();
  const std::string id = context_.Append(std::move(record));
  for (LedTerm* led : revised)
    led->revision_record = id;
}

std::optional<TermEntry> LeaseManager::MakeRevisionEntry(
    const LedTerm& led) const {
  const BootTime now = context_.now.boot;
  const LeaderLease& lease = led.lease;
  if (lease.revising() || lease.handing_over() || !lease.active(now) ||
      now < led.voters_changed_at + kRevisionInterval) {
    return std::nullopt;
  }
  const TermState& term = lease.term();
  std::vector<std::string> unresponsive;
  for (const auto& entry : excluded_until_)
    unresponsive.push_back(entry.first);
  std::vector<Voter> voters = ChooseVoters(
      context_.self(), context_.options.zone, context_.options.region,
      term.voters, std::move(unresponsive));
  const std::chrono::nanoseconds hold =
      IsolationHold(term.service, term.isolation_hold);
  const ListedInstance* listed = context_.directory.FindUpstream(term.upstream);
  const std::string& address = listed ? listed->address : term.address;
  if (SameVoters(voters, term.voters) && hold == term.isolation_hold &&
      address == term.address) {
    return std::nullopt;
  }
  TermEntry entry = EntryFromTerm(term, TermKind::kRevise);
  entry.address = address;
  entry.voters = std::move(voters);
  entry.isolation_hold = hold;
  return entry;
}

}  // namespace pollenrudder
