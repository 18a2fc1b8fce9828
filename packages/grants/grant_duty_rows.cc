// GrantDuty: the rows of the tables, and the calls to upstreams.

#include <algorithm>
#include <utility>

#include "grants/grant_duty.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// How often the load is looked at: a hot key is to be seen within a few of
// these.
constexpr milliseconds kPlanInterval{100};
// Waits for more upstreams before the first assignment of all keys, so that
// they need not move right after it.
constexpr milliseconds kFirstPlanPause{700};
// Between tries of a call that failed.
constexpr milliseconds kRetryPause{250};
// Failed calls in a row after which an upstream gets no keys for a while.
constexpr std::uint32_t kMaxFailures = 2;
constexpr milliseconds kAvoidPause{4000};
// Keys are not moved for balance if nobody could serve them for longer than
// this.
constexpr milliseconds kMaxMovePause{300};

}  // namespace

void GrantDuty::CarryHolds(const RowState& old, RowState& next) {
  const FormerOwner old_owner{old.row.owner, old.row.token};
  next.superseded = old.superseded;
  next.unnamed_until = old.unnamed_until;
  if (next.row.former == old_owner) {
    next.former_hold = old.owner_hold;
    next.former_secured = old.granted;
    return;
  }
  if (old.row.former && next.row.former == old.row.former) {
    next.former_hold = old.former_hold;
    next.former_secured = old.former_secured;
    next.released = old.released;
    next.handover = old.handover;
  }
  if (old.grant_sent)
    next.superseded.push_back({old_owner, old.owner_hold});
}

bool GrantDuty::IsFree(const RowState& row, BootTime now) {
  return now >= row.unnamed_until &&
         (!row.row.former || now >= row.former_hold.end()) &&
         std::ranges::all_of(row.superseded,
                             [now](const SupersededOwner& superseded) {
                               return now >= superseded.hold.end();
                             });
}

void GrantDuty::CarryRows(ServiceState& state, const KeyTable& table) const {
  std::vector<RowState> rows;
  rows.reserve(table.rows().size());
  for (const KeyAssignment& row : table.rows()) {
    RowState next;
    next.row = row;
    // Both are in the order of the keys.
    const auto old = std::ranges::lower_bound(
        state.rows, row.keys.first, {},
        [](const RowState& known) { return known.row.keys.last; });
    if (old != state.rows.end() && old->row.keys.Overlaps(row.keys)) {
      if (old->row.owner == row.owner && old->row.token == row.token) {
        next = *old;
        next.row = row;
      } else {
        CarryHolds(*old, next);
      }
    }
    rows.push_back(std::move(next));
  }
  state.rows = std::move(rows);
}

void GrantDuty::OnCallEnded(std::uint64_t id,
                            KeyCallResult result,
                            const std::string& handover,
                            BootTime now) {
  const auto at = calls_.find(id);
  if (at == calls_.end())
    return;
  const KeyCall call = std::move(at->second.call);
  const FormerOwner callee{call.upstream, at->second.row_token};
  calls_.erase(at);
  const BootTime end = now + options_.times.Stretched(call.hold);
  const bool sent = result != KeyCallResult::kUnreachable;
  ServiceState& state = services_[call.service];
  if (result == KeyCallResult::kReplaced) {
    OnLifeEnded(state, call.upstream);
    state.avoided[call.upstream.name] = now + kAvoidPause;
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
      row.next_release = now + kRetryPause;
      if (result == KeyCallResult::kDone) {
        row.released = true;
        row.handover = handover;
        row.former_hold.OnReleased();
      }
      continue;
    }
    const auto record = [&](HoldState& hold) {
      if (result == KeyCallResult::kDone)
        hold.OnAnswered(end);
      else if (result == KeyCallResult::kUnknown)
        hold.OnUnanswered(end);
      else
        hold.OnNotSent();
    };
    for (SupersededOwner& superseded : row.superseded) {
      if (superseded.owner == callee)
        record(superseded.hold);
    }
    if (to_former)
      record(row.former_hold);
    if (!to_owner)
      continue;
    record(row.owner_hold);
    row.grant_sent |= sent;
    if (result == KeyCallResult::kDone) {
      row.granted = true;
      row.owner_hold.OnFenced();
      row.failures = 0;
      state.avoided.erase(call.upstream.name);
      continue;
    }
    if (++row.failures >= kMaxFailures)
      state.avoided[call.upstream.name] = now + kAvoidPause;
    row.fenced |= result == KeyCallResult::kFenced;
    row.next_grant = now + kRetryPause;
  }
}

void GrantDuty::OnLifeEnded(ServiceState& state, const UpstreamLife& life) {
  for (RowState& row : state.rows) {
    if (row.row.owner == life)
      row.owner_hold.OnLifeEnded();
    if (row.row.former && row.row.former->upstream == life) {
      row.former_hold.OnLifeEnded();
      row.release_call.reset();
    }
    for (SupersededOwner& superseded : row.superseded) {
      if (superseded.owner.upstream == life)
        superseded.hold.OnLifeEnded();
    }
  }
}

const ListedUpstream* GrantDuty::FindLife(const UpstreamLife& life) const {
  const auto at = fleet_.find(life.name);
  if (at == fleet_.end() || at->second.born != life.born)
    return nullptr;
  return &at->second;
}

const ListedUpstream* GrantDuty::FindFormerLife(
    const UpstreamLife& life) const {
  if (const ListedUpstream* listed = FindLife(life))
    return listed;
  const auto at = unlisted_.find(life.name);
  if (at == unlisted_.end() || at->second.born != life.born)
    return nullptr;
  return &at->second;
}

void GrantDuty::PollRows(const std::string& service,
                         ServiceState& state,
                         BootTime now,
                         DutyActions& actions) {
  for (RowState& row : state.rows) {
    if (row.row.moving) {
      PollMovingRow(service, row, now, actions);
      continue;
    }
    const ListedUpstream* owner = FindLife(row.row.owner);
    if (owner != nullptr && now >= row.next_grant &&
        !row.owner_hold.HasCallPending())
      SendGrant(service, row, *owner, now, actions);
  }
}

void GrantDuty::PollMovingRow(const std::string& service,
                              RowState& row,
                              BootTime now,
                              DutyActions& actions) {
  if (now < changes_from_ && !row.former_secured)
    return;
  if (row.row.former && !row.released && !row.release_call &&
      now >= row.next_release && now < row.former_hold.end() &&
      !row.former_hold.HasCallPending()) {
    // One that is gone may have left its address to another, which proves it.
    const ListedUpstream* former = FindFormerLife(row.row.former->upstream);
    if (former != nullptr) {
      KeyCall call;
      call.kind = KeyCall::Kind::kRelease;
      call.id = next_call_++;
      call.service = service;
      call.upstream = row.row.former->upstream;
      call.address = former->address;
      call.keys = row.row.keys;
      call.token = CallToken(row.row.former->token);
      call.valid_until = confirmed_at_ + options_.times.term_lapse;
      row.release_call = call.id;
      calls_[call.id] = {call, row.row.former->token};
      actions.calls.push_back(std::move(call));
    }
  }
  const bool free = IsFree(row, now);
  const ListedUpstream* owner = FindLife(row.row.owner);
  if (free && !row.release_call && owner != nullptr && !row.granted &&
      now >= row.next_grant && !row.owner_hold.HasCallPending())
    SendGrant(service, row, *owner, now, actions);
}

void GrantDuty::SendGrant(const std::string& service,
                          RowState& row,
                          const ListedUpstream& upstream,
                          BootTime now,
                          DutyActions& actions) {
  KeyCall call;
  call.kind = KeyCall::Kind::kGrant;
  call.id = next_call_++;
  call.service = service;
  call.upstream = row.row.owner;
  call.address = upstream.address;
  call.keys = row.row.keys;
  call.token = CallToken(row.row.token);
  call.hold = options_.times.hold;
  call.handover = row.handover;
  call.valid_until = confirmed_at_ + options_.times.term_lapse;
  row.next_grant = now + options_.times.renew_every;
  row.grant_sent = true;
  row.owner_hold.OnSent();
  calls_[call.id] = {call, row.row.token};
  actions.calls.push_back(std::move(call));
}

bool GrantDuty::MayReplan(const RowState& row, BootTime now) const {
  if (!row.row.moving)
    return true;
  return !row.grant_sent || !row.row.former || now >= row.former_hold.end();
}

std::vector<KeyOwnerCandidate> GrantDuty::Candidates(const std::string& service,
                                                     const ServiceState& state,
                                                     BootTime now) const {
  std::vector<KeyOwnerCandidate> candidates;
  for (const auto& [name, upstream] : fleet_) {
    if (upstream.service != service || upstream.leaving)
      continue;
    const auto avoided = state.avoided.find(name);
    if (avoided == state.avoided.end() || now >= avoided->second)
      candidates.push_back({{name, upstream.born}, upstream.slots});
  }
  return candidates;
}

bool GrantDuty::MayChange(const RowState& row, BootTime now) const {
  return now >= changes_from_ || (row.granted && !row.row.moving);
}

std::vector<KeyRange> GrantDuty::PinnedRows(const ServiceState& state,
                                            BootTime now) const {
  std::vector<KeyRange> pinned;
  for (const RowState& row : state.rows) {
    if (!MayChange(row, now) ||
        row.owner_hold.unanswered_end() > now + kMaxMovePause)
      pinned.push_back(row.row.keys);
  }
  return pinned;
}

std::optional<KeyTable> GrantDuty::PlanTable(const std::string& service,
                                             ServiceState& state,
                                             std::uint64_t token,
                                             BootTime now) {
  KeyTable& known = tables_[service];
  KeyTable table = known;
  bool changed = false;
  // The rows that the owner has by now.
  for (const RowState& row : state.rows) {
    if (row.row.moving && row.granted) {
      KeyAssignment served = row.row;
      served.moving = false;
      served.former.reset();
      table.Assign(served);
      changed = true;
    }
  }
  if (now < state.next_plan && !changed)
    return std::nullopt;
  if (state.first_upstream == BootTime{} ||
      now < state.first_upstream + kFirstPlanPause)
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
    if (old == state.rows.end() ? now < changes_from_ : !MayChange(*old, now))
      continue;
    if (old != state.rows.end()) {
      if (!MayReplan(*old, now))
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
    // The owner has seen a higher token: grant again with a new one.
    if (!row.fenced || row.row.moving)
      continue;
    KeyAssignment again = row.row;
    again.token = token;
    again.moving = true;
    again.former = FormerOwner{row.row.owner, row.row.token};
    table.Assign(again);
    changed = true;
  }
  if (!changed || table == known)
    return std::nullopt;
  return table;
}

}  // namespace pollenrudder
