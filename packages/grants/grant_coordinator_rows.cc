// GrantCoordinator: the rows of the tables, and the calls to upstreams.

#include <algorithm>
#include <utility>

#include "grants/grant_coordinator.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// Interval between plans. The load of a hot key shows within a few of them.
constexpr milliseconds kPlanInterval{100};
// Delay before the first assignment of all keys, so that more upstreams are
// listed and keys need not move right after it.
constexpr milliseconds kFirstPlanDelay{700};
// Delay before a failed call is sent again.
constexpr milliseconds kRetryDelay{250};
// After this many consecutive failed calls, an upstream gets no keys for
// kFailureExclusion.
constexpr std::uint32_t kMaxFailures = 2;
constexpr milliseconds kFailureExclusion{4000};
// Keys are not moved for balance if they could be unserved for longer than
// this.
constexpr milliseconds kMaxMoveInterruption{300};

}  // namespace

void GrantCoordinator::CarryExpiries(const RowState& old, RowState& next) {
  const FormerOwner old_owner{old.row.owner, old.row.token};
  next.superseded = old.superseded;
  next.unrecorded_owner_until = old.unrecorded_owner_until;
  if (next.row.former == old_owner) {
    next.former_expiry = old.owner_expiry;
    next.former_confirmed = old.grant_accepted;
    return;
  }
  if (old.row.former && next.row.former == old.row.former) {
    next.former_expiry = old.former_expiry;
    next.former_confirmed = old.former_confirmed;
    next.released = old.released;
    next.handover = old.handover;
  }
  if (old.grant_sent)
    next.superseded.push_back({old_owner, old.owner_expiry});
}

bool GrantCoordinator::HaveOtherGrantsEnded(const RowState& row, BootTime now) {
  return now >= row.unrecorded_owner_until &&
         (!row.row.former || now >= row.former_expiry.end()) &&
         std::ranges::all_of(row.superseded,
                             [now](const SupersededOwner& superseded) {
                               return now >= superseded.expiry.end();
                             });
}

void GrantCoordinator::UpdateRowStates(ServiceState& state,
                                       const KeyTable& table) const {
  std::vector<RowState> rows;
  rows.reserve(table.rows().size());
  for (const KeyAssignment& row : table.rows()) {
    RowState next;
    next.row = row;
    // Both are in key order.
    const auto old = std::ranges::lower_bound(
        state.rows, row.keys.first, {},
        [](const RowState& known) { return known.row.keys.last; });
    if (old != state.rows.end() && old->row.keys.Overlaps(row.keys)) {
      if (old->row.owner == row.owner && old->row.token == row.token) {
        next = *old;
        next.row = row;
      } else {
        CarryExpiries(*old, next);
      }
    }
    rows.push_back(std::move(next));
  }
  state.rows = std::move(rows);
}

void GrantCoordinator::OnCallEnded(std::uint64_t id,
                                   KeyCallResult result,
                                   const std::string& handover,
                                   BootTime now) {
  const auto at = calls_.find(id);
  if (at == calls_.end())
    return;
  const KeyCall call = std::move(at->second.call);
  const BootTime requested_at = at->second.requested_at;
  const FormerOwner callee{call.upstream, at->second.row_token};
  const bool sent = result != KeyCallResult::kUnreachable &&
                    result != KeyCallResult::kWithheld;
  if (sent && result != KeyCallResult::kUnknown)
    RecordAnswer(call.upstream, requested_at, now);
  calls_.erase(at);
  const BootTime end = now + options_.times.WithDriftMargin(call.grant_ttl);
  ServiceState& state = services_[call.service];
  if (result == KeyCallResult::kReplaced) {
    OnIncarnationEnded(state, call.upstream);
    state.excluded_until[call.upstream.name] = now + kFailureExclusion;
  }
  for (RowState& row : state.rows) {
    if (!row.row.keys.Overlaps(call.keys))
      continue;
    const bool to_owner = FormerOwner{row.row.owner, row.row.token} == callee;
    const bool to_former = row.row.former == callee;
    if (call.kind == KeyCall::Kind::kRelease) {
      if (!to_former || row.release_call != id)
        continue;
      row.release_call.reset();
      row.next_release = now + kRetryDelay;
      if (result == KeyCallResult::kDone) {
        row.released = true;
        row.handover = handover;
        row.former_expiry.OnReleased();
      }
      continue;
    }
    const auto record = [&](GrantExpiry& expiry) {
      if (result == KeyCallResult::kDone)
        expiry.OnAnswered(end);
      else if (result == KeyCallResult::kUnknown)
        expiry.OnUnanswered(now, end, end + options_.times.max_delivery_time);
      else
        expiry.OnNotSent();
    };
    for (SupersededOwner& superseded : row.superseded) {
      if (superseded.owner == callee)
        record(superseded.expiry);
    }
    if (to_former)
      record(row.former_expiry);
    if (!to_owner)
      continue;
    record(row.owner_expiry);
    row.grant_sent |= sent;
    if (result == KeyCallResult::kDone) {
      row.failures = 0;
      state.excluded_until.erase(call.upstream.name);
      if (row.unconfirmed_token) {
        // A renewal that was sent before the log was replaced proves nothing.
        if (requested_at >= log_replaced_at_ &&
            call.token == *row.unconfirmed_token) {
          row.unconfirmed_token.reset();
          row.unrecorded_owner_until = {};
        }
        row.next_grant = now;
        continue;
      }
      row.grant_accepted = true;
      row.owner_expiry.OnFenced();
      continue;
    }
    if (result == KeyCallResult::kWithheld) {
      row.withheld_at = now;
      row.next_grant = now;
      needs_term_renewal_ = true;
      continue;
    }
    if (++row.failures >= kMaxFailures)
      state.excluded_until[call.upstream.name] = now + kFailureExclusion;
    row.fenced |= result == KeyCallResult::kFenced;
    row.next_grant = now + kRetryDelay;
  }
}

bool GrantCoordinator::MaySend(std::uint64_t id,
                               BootTime connected_at,
                               BootTime now) const {
  const auto at = calls_.find(id);
  if (at == calls_.end() || now >= at->second.call.valid_until)
    return false;
  const KeyCall& call = at->second.call;
  if (call.kind == KeyCall::Kind::kRelease)
    return true;
  const auto service = services_.find(call.service);
  if (service == services_.end())
    return false;
  const std::vector<RowState>& rows = service->second.rows;
  auto row = std::ranges::lower_bound(
      rows, call.keys.first, {},
      [](const RowState& known) { return known.row.keys.last; });
  for (; row != rows.end() && row->row.keys.Overlaps(call.keys); ++row) {
    if (!row->row.moving && connected_at > OtherTermsExcludedUntil(*row))
      return false;
  }
  return true;
}

void GrantCoordinator::OnIncarnationEnded(
    ServiceState& state,
    const UpstreamIncarnation& incarnation) {
  for (RowState& row : state.rows) {
    if (row.row.owner == incarnation)
      row.owner_expiry.OnIncarnationEnded();
    if (row.row.former && row.row.former->upstream == incarnation) {
      row.former_expiry.OnIncarnationEnded();
      row.release_call.reset();
    }
    for (SupersededOwner& superseded : row.superseded) {
      if (superseded.owner.upstream == incarnation)
        superseded.expiry.OnIncarnationEnded();
    }
  }
}

const ListedUpstream* GrantCoordinator::FindIncarnation(
    const UpstreamIncarnation& incarnation) const {
  const auto at = fleet_.find(incarnation.name);
  if (at == fleet_.end() || at->second.started_at != incarnation.started_at)
    return nullptr;
  return &at->second;
}

const ListedUpstream* GrantCoordinator::FindFormerIncarnation(
    const UpstreamIncarnation& incarnation) const {
  if (const ListedUpstream* listed = FindIncarnation(incarnation))
    return listed;
  const auto at = unlisted_.find(incarnation.name);
  if (at == unlisted_.end() || at->second.started_at != incarnation.started_at)
    return nullptr;
  return &at->second;
}

void GrantCoordinator::PollRows(const std::string& service,
                                ServiceState& state,
                                BootTime now,
                                GrantActions& actions) {
  for (RowState& row : state.rows) {
    UpdateDelivery(row);
    if (now >= row.unrecorded_owner_until)
      row.unconfirmed_token.reset();
    if (row.row.moving) {
      PollMovingRow(service, row, now, actions);
      continue;
    }
    if (now < row.next_grant || row.owner_expiry.HasCallPending() ||
        row.withheld_at > OtherTermsExcludedUntil(row))
      continue;
    if (const ListedUpstream* owner = FindIncarnation(row.row.owner))
      SendGrant(service, row, *owner, now, actions);
  }
}

void GrantCoordinator::PollMovingRow(const std::string& service,
                                     RowState& row,
                                     BootTime now,
                                     GrantActions& actions) {
  if (now < changes_allowed_from_ &&
      !(row.former_confirmed &&
        (!row.row.former ||
         RejectsEarlierLeaders(row.row.former->upstream, row.former_expiry))))
    return;
  if (row.row.former && !row.released && !row.release_call &&
      now >= row.next_release && now < row.former_expiry.end() &&
      !row.former_expiry.HasCallPending()) {
    // Another upstream may respond at the address of one that is no longer
    // listed, which proves that the former owner has ended.
    const ListedUpstream* former =
        FindFormerIncarnation(row.row.former->upstream);
    if (former != nullptr) {
      KeyCall call;
      call.kind = KeyCall::Kind::kRelease;
      call.id = next_call_id_++;
      call.service = service;
      call.upstream = row.row.former->upstream;
      call.address = former->address;
      call.keys = row.row.keys;
      call.token = CallToken(row.row.former->token);
      call.valid_until =
          term_confirmed_at_ + options_.times.leader_lease_duration;
      row.release_call = call.id;
      calls_[call.id] = {call, now, row.row.former->token};
      actions.calls.push_back(std::move(call));
    }
  }
  const bool others_ended = HaveOtherGrantsEnded(row, now);
  const ListedUpstream* owner = FindIncarnation(row.row.owner);
  if (others_ended && !row.release_call && owner != nullptr &&
      !row.grant_accepted && now >= row.next_grant &&
      !row.owner_expiry.HasCallPending())
    SendGrant(service, row, *owner, now, actions);
}

void GrantCoordinator::RecordAnswer(const UpstreamIncarnation& upstream,
                                    BootTime requested_at,
                                    BootTime now) {
  const ListedUpstream* entry = FindFormerIncarnation(upstream);
  if (entry == nullptr)
    return;
  AnsweredCall& latest = answered_calls_[entry->zone];
  if (requested_at > latest.requested_at)
    latest = {requested_at, now};
}

void GrantCoordinator::UpdateDelivery(const UpstreamIncarnation& upstream,
                                      GrantExpiry& expiry) const {
  if (!expiry.IsUndelivered())
    return;
  const ListedUpstream* entry = FindFormerIncarnation(upstream);
  if (entry == nullptr)
    return;
  const auto latest = answered_calls_.find(entry->zone);
  if (latest == answered_calls_.end())
    return;
  expiry.OnDelivered(
      latest->second.requested_at,
      latest->second.answered_at +
          options_.times.WithDriftMargin(options_.times.grant_ttl));
}

void GrantCoordinator::UpdateDelivery(RowState& row) const {
  UpdateDelivery(row.row.owner, row.owner_expiry);
  if (row.row.former)
    UpdateDelivery(row.row.former->upstream, row.former_expiry);
  for (SupersededOwner& superseded : row.superseded)
    UpdateDelivery(superseded.owner.upstream, superseded.expiry);
}

void GrantCoordinator::SendGrant(const std::string& service,
                                 RowState& row,
                                 const ListedUpstream& upstream,
                                 BootTime now,
                                 GrantActions& actions) {
  KeyCall call;
  call.kind = KeyCall::Kind::kGrant;
  call.id = next_call_id_++;
  call.service = service;
  call.upstream = row.row.owner;
  call.address = upstream.address;
  call.keys = row.row.keys;
  call.token = row.unconfirmed_token.value_or(CallToken(row.row.token));
  call.grant_ttl = options_.times.grant_ttl;
  call.handover = row.handover;
  call.valid_until = term_confirmed_at_ + options_.times.leader_lease_duration;
  row.next_grant = now + options_.times.renew_interval;
  row.grant_sent = true;
  row.owner_expiry.OnSent();
  calls_[call.id] = {call, now, row.row.token};
  actions.calls.push_back(std::move(call));
}

bool GrantCoordinator::MayReassign(const RowState& row, BootTime now) const {
  if (!row.row.moving)
    return true;
  return !row.grant_sent || !row.row.former || now >= row.former_expiry.end();
}

std::vector<KeyOwnerCandidate> GrantCoordinator::Candidates(
    const std::string& service,
    const ServiceState& state,
    BootTime now) const {
  std::vector<KeyOwnerCandidate> candidates;
  std::vector<KeyOwnerCandidate> cold_candidates;
  std::vector<KeyOwnerCandidate> elsewhere;
  for (const auto& [name, upstream] : fleet_) {
    if (upstream.service != service || upstream.leaving || upstream.evacuated)
      continue;
    const auto announced = state.leaving.find(name);
    if (announced != state.leaving.end() &&
        announced->second == upstream.started_at)
      continue;
    const auto excluded = state.excluded_until.find(name);
    if (excluded != state.excluded_until.end() && now < excluded->second)
      continue;
    const auto region = options_.region_of_zone.find(upstream.zone);
    const bool is_allowed = state.regions.empty() ||
                            (region != options_.region_of_zone.end() &&
                             std::ranges::find(state.regions, region->second) !=
                                 state.regions.end());
    // Keys stay with an owner that becomes cold; others are not moved there.
    const auto cold = state.cold_until.find(name);
    const UpstreamIncarnation incarnation{name, upstream.started_at};
    const bool is_cold =
        cold != state.cold_until.end() && now < cold->second &&
        std::ranges::none_of(state.rows, [&incarnation](const RowState& row) {
          return row.row.owner == incarnation;
        });
    (!is_allowed ? elsewhere
     : is_cold   ? cold_candidates
                 : candidates)
        .push_back({incarnation, upstream.slots});
  }
  // Cold upstreams serve some requests at least. Outside of the regions, keys
  // serve only the routes without any.
  if (candidates.empty())
    candidates = std::move(cold_candidates);
  return candidates.empty() ? elsewhere : candidates;
}

bool GrantCoordinator::MayChangeOwner(const RowState& row, BootTime now) const {
  return now >= changes_allowed_from_ ||
         (row.grant_accepted && !row.row.moving &&
          RejectsEarlierLeaders(row.row.owner, row.owner_expiry));
}

bool GrantCoordinator::RejectsEarlierLeaders(
    const UpstreamIncarnation& upstream,
    const GrantExpiry& expiry) const {
  return expiry.HasIncarnationEnded() || FindIncarnation(upstream) != nullptr;
}

std::vector<KeyRange> GrantCoordinator::PinnedRows(const ServiceState& state,
                                                   BootTime now) const {
  std::vector<KeyRange> pinned;
  for (const RowState& row : state.rows) {
    if (!MayChangeOwner(row, now) ||
        row.owner_expiry.unanswered_end() > now + kMaxMoveInterruption)
      pinned.push_back(row.row.keys);
  }
  return pinned;
}

bool GrantCoordinator::AwaitsConfirmation(const std::string& service,
                                          const ServiceState& state,
                                          BootTime now) const {
  return now < confirm_until_ && IsTableUnknown(service) &&
         std::ranges::any_of(state.rows, [](const RowState& row) {
           return row.unconfirmed_token.has_value();
         });
}

std::optional<KeyTable> GrantCoordinator::PlanTable(const std::string& service,
                                                    ServiceState& state,
                                                    std::uint64_t token,
                                                    BootTime now) {
  const KeyTable& known = tables_[service];
  bool changed = false;
  if (IsUnknownToLeader(service) ? now < unknown_grants_until_
                                 : AwaitsConfirmation(service, state, now))
    return std::nullopt;
  // The other instances cannot decode the present record, or it is on a log
  // that was replaced.
  const bool is_unrecorded = IsTableUnknown(service);
  KeyTable table = known;
  if (is_unrecorded) {
    // May include the rows of an append whose outcome was not known.
    std::vector<KeyAssignment> rows;
    for (const RowState& row : state.rows)
      rows.push_back(row.row);
    table = KeyTable(std::move(rows));
  }
  // Completes the moves of rows whose owner has accepted a grant.
  for (const RowState& row : state.rows) {
    if (row.row.moving && row.grant_accepted) {
      KeyAssignment completed = row.row;
      completed.moving = false;
      completed.former.reset();
      table.Assign(completed);
      changed = true;
    }
  }
  if (now < state.next_plan && !changed)
    return std::nullopt;
  if (state.first_upstream_at == BootTime{} ||
      now < state.first_upstream_at + kFirstPlanDelay)
    return std::nullopt;
  state.next_plan = now + kPlanInterval;
  const std::vector<KeyOwnerCandidate> candidates =
      Candidates(service, state, now);
  const std::vector<KeyRange> pinned = PinnedRows(state, now);
  for (const KeyMove& move :
       KeyPlanner::Plan(table, candidates, pinned, state.load, now)) {
    const auto old = std::ranges::find_if(state.rows, [&](const RowState& row) {
      return row.row.keys.Contains(move.keys.first);
    });
    KeyAssignment row;
    row.keys = move.keys;
    row.owner = move.to;
    row.token = token;
    row.moving = true;
    if (old == state.rows.end() ? now < changes_allowed_from_
                                : !MayChangeOwner(*old, now))
      continue;
    if (old != state.rows.end()) {
      if (!MayReassign(*old, now))
        continue;
      if (!old->grant_sent)
        row.former = old->row.former;
      else
        row.former = FormerOwner{old->row.owner, old->row.token};
    }
    table.Assign(row);
    changed = true;
  }
  for (const RowState& row : state.rows) {
    // The owner has accepted a higher token, or has not confirmed that it still
    // has the keys: assign the row again with a new token.
    const bool is_unconfirmed = is_unrecorded && row.unconfirmed_token;
    if ((!row.fenced && !is_unconfirmed) || row.row.moving)
      continue;
    KeyAssignment again = row.row;
    again.token = token;
    again.moving = true;
    again.former = FormerOwner{row.row.owner, row.row.token};
    table.Assign(again);
    changed = true;
  }
  if (!is_unrecorded && (!changed || table == known))
    return std::nullopt;
  return table;
}

}  // namespace pollenrudder
