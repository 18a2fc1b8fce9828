// Starts, sends, abandons and cancels handovers and retirements.

#include "ownership/term_handover.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "ownership/ownership_events.h"
#include "ownership/term_rules.h"

namespace pollenrudder {

TermHandover::TermHandover(ControlContext& context,
                           LeaseManager& leases,
                           MoveManager& moves)
    : context_(context), leases_(leases), moves_(moves) {}

void TermHandover::OnTableChanged() {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const bool keep = CheckOutcome(entry->first, entry->second);
    entry = keep ? std::next(entry) : pending_.erase(entry);
  }
  std::erase_if(targets_, [this](const auto& entry) {
    return !pending_.contains(entry.first);
  });
  std::erase_if(retry_at_, [this](const auto& entry) {
    return !leases_.Find(entry.first);
  });
}

void TermHandover::OnDrainFinished(const DrainFinished& finished) {
  const auto found = pending_.find(finished.upstream);
  if (found == pending_.end() || found->second.drain_id != finished.drain_id)
    return;
  found->second.drained = true;
  if (!Advance(finished.upstream, found->second))
    pending_.erase(found);
}

void TermHandover::OnTick() {
  if (!context_.MayAppend())
    return;
  for (const std::string& upstream : leases_.LedUpstreams()) {
    if (pending_.contains(upstream))
      continue;
    const std::optional<Cause> cause = DetermineCause(upstream);
    if (cause && context_.ReadyToAppend())
      Start(upstream, *cause);
  }
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const bool keep = Advance(entry->first, entry->second);
    entry = keep ? std::next(entry) : pending_.erase(entry);
  }
}

bool TermHandover::InProgress(const std::string& upstream) const {
  return pending_.contains(upstream);
}

bool TermHandover::AllTermsHandedOver() const {
  const std::vector<std::string> led = leases_.LedUpstreams();
  return std::all_of(
      led.begin(), led.end(), [this](const std::string& upstream) {
        const auto found = pending_.find(upstream);
        return found != pending_.end() && found->second.drained &&
               found->second.record.empty() &&
               !ChooseTarget(upstream, Cause::kLeave);
      });
}

std::optional<TermHandover::Cause> TermHandover::DetermineCause(
    const std::string& upstream) const {
  const TermState* term = context_.table().FindTerm(upstream);
  const LeaderLease* lease = leases_.Find(upstream);
  if (!term || !lease || !term->active || lease->revising() ||
      lease->handing_over() || !lease->active(context_.now.boot) ||
      moves_.IsMoving(upstream)) {
    return std::nullopt;
  }
  if (context_.IsSteppingDown()) {
    // Unlike a leaving instance, an instance in a planned stop continues later,
    // so it hands over only if another instance can lead the term until then.
    if (context_.leaving || ChooseTarget(upstream, Cause::kLeave))
      return Cause::kLeave;
    return std::nullopt;
  }
  const auto retry_at = retry_at_.find(upstream);
  if (retry_at != retry_at_.end() && context_.now.boot < retry_at->second)
    return std::nullopt;
  if (context_.directory.MissingFor(upstream, context_.now.boot) >=
          kRetireAfter &&
      context_.table().ShardsOf(upstream).empty()) {
    return Cause::kRetire;
  }
  if (term->zone != context_.options.zone &&
      ChooseTarget(upstream, Cause::kReturn)) {
    return Cause::kReturn;
  }
  if (ShouldBalance(upstream))
    return Cause::kBalance;
  return std::nullopt;
}

void TermHandover::Start(const std::string& upstream, Cause cause) {
  const ListedInstance* target = ChooseTarget(upstream, cause);
  if (target)
    targets_[upstream] = target->name;
  if (cause == Cause::kBalance)
    last_balance_at_ = context_.now.boot;
  PendingHandover pending;
  pending.cause = cause;
  pending.leader_fence = leases_.Find(upstream)->term().leader_fence;
  pending.started_at = context_.now.boot;
  pending.drain_id = context_.StartDrain({0, upstream, {}, true, false});
  context_.AddLogEvent(
      kDrainStarted,
      {{"upstream", upstream},
       {"cause", cause == Cause::kRetire ? "retire" : "handover"}});
  pending_[upstream] = std::move(pending);
}

bool TermHandover::Advance(const std::string& upstream,
                           PendingHandover& pending) {
  const bool urgent = pending.cause == Cause::kLeave;
  if (!pending.drained && !urgent &&
      context_.now.boot >= pending.started_at + kDrainTimeout) {
    retry_at_[upstream] = context_.now.boot + kRetryInterval;
    Cancel(upstream);
    return false;
  }
  if (!pending.drained || !context_.MayAppend())
    return true;
  if (!pending.record.empty()) {
    Abandon(upstream, pending);
    return true;
  }
  const bool has_target = pending.cause == Cause::kRetire ||
                          ChooseTarget(upstream, pending.cause) != nullptr;
  if (!has_target && !context_.leaving) {
    Cancel(upstream);
    return false;
  }
  if (has_target)
    Send(upstream, pending);
  return true;
}

void TermHandover::Send(const std::string& upstream, PendingHandover& pending) {
  LeaderLease* lease = leases_.Find(upstream);
  // Only an active leader may hand over: before that, an earlier leader may
  // still be sending.
  if (!lease || lease->revising() || !lease->active(context_.now.boot) ||
      !context_.ReadyToAppend()) {
    return;
  }
  const TermState& term = lease->term();
  LogRecordBody body = RetireRecord{upstream, term.term};
  if (pending.cause != Cause::kRetire) {
    const ListedInstance* target = ChooseTarget(upstream, pending.cause);
    targets_[upstream] = target->name;
    TermEntry entry = EntryFromTerm(term, TermKind::kHandover);
    entry.leader = target->name;
    entry.leader_zone = target->zone;
    entry.leader_forward_address = target->address;
    entry.leader_peer_address = target->peer_address;
    entry.voters = leases_.ChooseVoters(target->name, target->zone,
                                        target->region, term.voters, {});
    context_.AddLogEvent(
        kHandoverSent,
        {{"upstream", upstream}, {"term", term.term}, {"to", target->name}});
    body = TermRecord{{std::move(entry)}};
  } else {
    context_.AddLogEvent(kRetireSent,
                         {{"upstream", upstream}, {"term", term.term}});
  }
  // The lease must end before the record can take effect.
  lease->BeginHandover();
  leases_.PublishShorterLeases();
  pending.record = context_.Append(std::move(body));
  pending.sent_at = context_.now.boot;
}

void TermHandover::Abandon(const std::string& upstream,
                           PendingHandover& pending) {
  // Only `term` records can be abandoned. An unresolved retirement is sent
  // again until it is read, which is harmless because the upstream is gone.
  if (pending.cause == Cause::kRetire || !pending.abandon.empty() ||
      !context_.appender.pending(pending.record) ||
      context_.now.boot < pending.sent_at + kAbandonAfter) {
    return;
  }
  context_.AddLogEvent(kAbandonSent,
                       {{"upstream", upstream}, {"record", pending.record}});
  context_.appender.Withdraw(pending.record);
  pending.abandon = context_.Append(AbandonRecord{pending.record});
}

bool TermHandover::CheckOutcome(const std::string& upstream,
                                const PendingHandover& pending) {
  const LeaderLease* lease = leases_.Find(upstream);
  if (!lease || lease->term().leader_fence != pending.leader_fence)
    return false;
  if (pending.record.empty())
    return true;
  const std::string& outcome =
      pending.abandon.empty() ? pending.record : pending.abandon;
  if (context_.appender.pending(outcome))
    return true;
  Cancel(upstream);
  return false;
}

void TermHandover::Cancel(const std::string& upstream) {
  leases_.Find(upstream)->AbandonHandover();
  context_.deferred_actions.emplace_back(ResumeShards{upstream, {}, true});
  moves_.OnHandoverGivenUp(upstream);
  context_.AddLogEvent(kHandoverGivenUp, {{"upstream", upstream}});
}

const ListedInstance* TermHandover::ChooseTarget(const std::string& upstream,
                                                 Cause cause) const {
  const TermState* term = context_.table().FindTerm(upstream);
  if (!term || cause == Cause::kRetire)
    return nullptr;
  // An instance that is cut off would get the term and not serve the upstream.
  if (cause == Cause::kReturn && !context_.HasRecentMessageFromZone(term->zone))
    return nullptr;
  if (cause != Cause::kLeave)
    return FindLeastLoaded(term->service, term->zone, kMinListedTime);
  for (const std::string& zone : {term->zone, context_.options.zone}) {
    if (const ListedInstance* target =
            FindLeastLoaded(term->service, zone, std::chrono::nanoseconds(0))) {
      return target;
    }
  }
  return FindLeastLoaded(term->service, {}, std::chrono::nanoseconds(0));
}

const ListedInstance* TermHandover::FindLeastLoaded(
    const std::string& service,
    const std::string& zone,
    std::chrono::nanoseconds listed_for) const {
  const ListedInstance* least = nullptr;
  std::size_t least_terms = 0;
  for (const ListedInstance& entry : context_.directory.instances()) {
    if (entry.kind != ListedInstance::Kind::kEntry ||
        entry.name == context_.self() ||
        (!zone.empty() && entry.zone != zone) ||
        context_.directory.ListedFor(entry.name, context_.now.boot) <
            listed_for ||
        StopSchedule::IsInstanceStopping(context_.document(),
                                         context_.directory, entry.name,
                                         context_.now.wall) ||
        IsDeclaredLost(context_.document(), service, entry.name, entry.zone)) {
      continue;
    }
    const std::size_t terms = CountTermsOf(entry.name);
    if (!least || terms < least_terms) {
      least = &entry;
      least_terms = terms;
    }
  }
  return least;
}

std::size_t TermHandover::CountTermsOf(const std::string& instance) const {
  std::size_t terms = 0;
  for (const auto& [upstream, term] : context_.table().state().terms) {
    const auto planned_target = targets_.find(upstream);
    const std::string& leader =
        planned_target == targets_.end() ? term.leader : planned_target->second;
    if (leader == instance)
      ++terms;
  }
  return terms;
}

bool TermHandover::ShouldBalance(const std::string& upstream) const {
  if (last_balance_at_ &&
      context_.now.boot < *last_balance_at_ + kBalanceInterval) {
    return false;
  }
  const ListedInstance* least = ChooseTarget(upstream, Cause::kBalance);
  const std::size_t own_terms = CountTermsOf(context_.self());
  if (!least || own_terms < CountTermsOf(least->name) + kBalanceDifference)
    return false;
  // Only the instance with the most terms hands over, so that no two instances
  // hand over to the same one at the same time.
  for (const ListedInstance& entry :
       context_.directory.AvailableEntries(context_.options.zone)) {
    const std::size_t terms = CountTermsOf(entry.name);
    if (terms > own_terms ||
        (terms == own_terms && entry.name < context_.self()))
      return false;
  }
  return true;
}

}  // namespace pollenrudder
