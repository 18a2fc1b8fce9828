// GrantCoordinator: the log and the term. grant_coordinator_rows.cc has the
// rows of the tables; the header states the rules.

#include "grants/grant_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// Between appends after one that failed.
constexpr milliseconds kAppendPause{100};
// A holder without the turn shows this often that it lives. One that has not
// done so for the patience of the turn's owner is taken to be lost; a live one
// hears within a second that its turn has passed on.
constexpr milliseconds kKeepInterval{1000};
constexpr milliseconds kHolderPatience{1900};
// An upstream that has ended gets no keys while the list still names it.
constexpr milliseconds kReplacedPause{4000};
// Between changes of the tables. A record holds all rows, and every instance
// hears of it, so that large tables change less often.
constexpr milliseconds kChangeSpacing{20};
constexpr std::chrono::microseconds kChangeSpacingPerRow{700};

}  // namespace

GrantCoordinator::GrantCoordinator(Options options)
    : options_(std::move(options)) {}

void GrantCoordinator::OnLogRecords(const std::vector<LogEntry>& records,
                                    std::uint64_t end,
                                    BootTime sent_at,
                                    BootTime now) {
  for (const LogEntry& entry : records) {
    if (entry.offset >= next_offset_)
      ApplyRecord(entry.offset, entry.record, now);
  }
  next_offset_ = std::max(next_offset_, end);
  log_known_ = true;
  needs_log_ = false;
  if (holder_)
    confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void GrantCoordinator::OnNewestRecords(std::vector<LogEntry> records,
                                       std::uint64_t end,
                                       BootTime now) {
  std::ranges::sort(records, {}, &LogEntry::offset);
  // Pages of the newest records are no snapshot: what was appended while they
  // were read is read again from the log, in its order.
  bool grew = false;
  for (const LogEntry& entry : records) {
    if (entry.offset >= end)
      grew = true;
    else if (entry.offset >= next_offset_)
      ApplyRecord(entry.offset, entry.record, now);
  }
  next_offset_ = std::max(next_offset_, end);
  log_known_ = true;
  needs_log_ = grew;
}

void GrantCoordinator::ApplyRecord(std::uint64_t offset,
                                   const GrantLogRecord& record,
                                   BootTime now) {
  next_offset_ = std::max(next_offset_, offset + 1);
  const auto parsed = ParseGrantLogRecord(record);
  if (!parsed)
    return;
  if (const auto* term = std::get_if<GrantTermRecord>(&parsed.value()))
    ApplyTerm(offset, *term, now);
  else
    ApplyTable(offset, std::get<TableRecord>(parsed.value()));
}

void GrantCoordinator::ApplyTerm(std::uint64_t offset,
                                 const GrantTermRecord& term,
                                 BootTime now) {
  const std::optional<GrantTermRecord> former = std::exchange(term_, term);
  term_offset_ = offset;
  term_seen_ = now;
  const bool mine = term.instance == options_.instance &&
                    term.incarnation == options_.incarnation;
  const bool same_holder = former && former->instance == term.instance &&
                           former->incarnation == term.incarnation &&
                           !former->resigned;
  if (same_holder && !term.resigned)
    return;
  const bool follows_mine = former && former->instance == options_.instance &&
                            former->incarnation == options_.incarnation;
  const TableUpdate update{"", offset, last_change_, {}, term};
  last_change_ = offset + 1;
  // Two instances that both believe it is their turn must not take the duty
  // from each other again and again.
  turn_is_mine_ = false;
  if (mine && !term.resigned)
    BecomeLeader(former, offset, term.change_delay, now);
  else if (holder_)
    ForgetHolderState();
  // The others report to the former holder, and hear of its successor from it.
  if (follows_mine)
    updates_.push_back(update);
}

void GrantCoordinator::ApplyTable(std::uint64_t offset,
                                  const TableRecord& record) {
  KeyTable& table = tables_[record.service];
  if (table == record.table)
    return;
  if (holder_) {
    TableUpdate update{record.service, offset, last_change_, {}, {}};
    for (const KeyAssignment& row : record.table.rows()) {
      const KeyAssignment* old = table.Find(row.keys.first);
      // A row that was only cut needs no update.
      const bool same = old != nullptr && old->owner == row.owner &&
                        old->token == row.token && old->moving == row.moving &&
                        old->keys.last >= row.keys.last;
      if (!same)
        update.rows.push_back(row);
    }
    updates_.push_back(std::move(update));
  }
  table = record.table;
  ++tables_version_;
  last_change_ = offset + 1;
  if (holder_)
    CarryRows(services_[record.service], table);
}

bool GrantCoordinator::OnTableUpdate(const TableUpdate& update, BootTime now) {
  if (holder_ || update.offset < next_offset_)
    return true;
  if (!log_known_ || update.unchanged_since > next_offset_) {
    needs_log_ = true;
    return false;
  }
  next_offset_ = update.offset + 1;
  if (update.term) {
    ApplyTerm(update.offset, *update.term, now);
    return true;
  }
  KeyTable& table = tables_[update.service];
  for (const KeyAssignment& row : update.rows)
    table.Assign(row);
  // Reminders of the term may lie between; the update shows as well that the
  // holder lives.
  term_seen_ = now;
  last_change_ = next_offset_;
  ++tables_version_;
  return true;
}

std::vector<TableUpdate> GrantCoordinator::TakeUpdates() {
  return std::exchange(updates_, {});
}

milliseconds GrantCoordinator::WaitAfterClaim() const {
  if (!term_)
    return milliseconds(0);
  // A holder that resigned has no call on its way, and an earlier life of this
  // instance has ended: only those before them may still send.
  if (term_->resigned || term_->instance == options_.instance)
    return term_->change_delay;
  return std::chrono::ceil<milliseconds>(
      options_.times.WithDriftMargin(options_.times.leader_lease_duration));
}

GrantTermRecord GrantCoordinator::MakeClaim() const {
  GrantTermRecord term;
  term.instance = options_.instance;
  term.incarnation = options_.incarnation;
  term.report_address = options_.report_address;
  term.change_delay = WaitAfterClaim();
  return term;
}

GrantTermRecord GrantCoordinator::MakeResignation(BootTime now) const {
  BootTime unanswered_grant_ttl = now;
  for (const auto& [service, state] : services_) {
    for (const RowState& row : state.rows) {
      unanswered_grant_ttl =
          std::max({unanswered_grant_ttl, row.owner_hold.unanswered_end(),
                    row.former_hold.unanswered_end(), row.unnamed_until});
      // The log does not name these, so that a successor cannot have them
      // release the keys.
      for (const SupersededOwner& superseded : row.superseded)
        unanswered_grant_ttl =
            std::max(unanswered_grant_ttl, superseded.grant_ttl.end());
    }
  }
  GrantTermRecord term = *term_;
  term.resigned = true;
  term.change_delay = std::chrono::ceil<milliseconds>(
      std::max<std::chrono::nanoseconds>(changes_from_ - now, {}));
  term.unanswered_grant_ttl =
      std::chrono::ceil<milliseconds>(unanswered_grant_ttl - now);
  term.successor = successor_;
  return term;
}

void GrantCoordinator::Stop(const std::string& successor) {
  stopping_ = true;
  successor_ = successor;
}

void GrantCoordinator::TransferLeadership(const std::string& successor,
                                          BootTime now) {
  if (!holder_ || stopping_ || passing_on_ || now < changes_from_)
    return;
  passing_on_ = true;
  successor_ = successor;
}

std::optional<GrantTermRecord> GrantCoordinator::MakeReminder(BootTime now) {
  // A successor need not wait again for those that this one has waited for.
  const bool settles = term_->change_delay.count() > 0 && now >= changes_from_;
  const bool keeps = turn_is_elsewhere_ && now >= next_keep_;
  if (!settles && !keeps)
    return std::nullopt;
  next_keep_ = now + kKeepInterval;
  GrantTermRecord reminder = *term_;
  if (settles)
    reminder.change_delay = milliseconds(0);
  return reminder;
}

void GrantCoordinator::BecomeLeader(
    const std::optional<GrantTermRecord>& former,
    std::uint64_t offset,
    milliseconds change_delay,
    BootTime now) {
  holder_ = true;
  term_token_ = offset;
  replaces_successor_ = former && former->resigned &&
                        !former->successor.empty() &&
                        former->successor != options_.instance;
  const GrantDurations& times = options_.times;
  changes_from_ = now + change_delay;
  // The last grant of an earlier holder is answered or given up by then, and
  // over a hold later.
  BootTime held_until = changes_from_ + times.call_timeout +
                        times.WithDriftMargin(times.grant_ttl);
  const bool clean = !former || (former->resigned && change_delay.count() == 0);
  const BootTime unanswered_until =
      clean ? now + (former ? former->unanswered_grant_ttl : milliseconds(0))
            : held_until;
  for (auto& [service, table] : tables_) {
    ServiceState& state = services_[service];
    state.rows.clear();
    CarryRows(state, table);
    for (RowState& row : state.rows) {
      row.grant_sent = true;
      // Keys of a row that does not move were granted after all others had lost
      // them.
      if (row.row.moving)
        row.unnamed_until = unanswered_until;
      for (GrantExpiry* grant_ttl : {&row.owner_hold, &row.former_hold}) {
        grant_ttl->AssumeAnsweredUntil(held_until);
        grant_ttl->AssumeUnansweredUntil(unanswered_until);
      }
    }
  }
}

void GrantCoordinator::ForgetHolderState() {
  holder_ = false;
  passing_on_ = false;
  confirmed_at_ = {};
  changes_from_ = {};
  calls_.clear();
  updates_.clear();
  for (auto& [service, state] : services_) {
    state.rows.clear();
    state.load = {};
  }
}

void GrantCoordinator::OnAppendEnded(LogAppendResult result,
                                     BootTime sent_at,
                                     BootTime now) {
  if (!append_)
    return;
  const LogAppend append = *std::exchange(append_, std::nullopt);
  if (result == LogAppendResult::kDone) {
    if (append.at == next_offset_) {
      for (const GrantLogRecord& record : append.records)
        ApplyRecord(next_offset_, record, now);
    }
    if (holder_)
      confirmed_at_ = std::max(confirmed_at_, sent_at);
    return;
  }
  next_append_ = now + kAppendPause;
  needs_log_ = result != LogAppendResult::kRejected;
}

void GrantCoordinator::OnPreferredLeader(bool mine,
                                         BootTime sent_at,
                                         BootTime now) {
  const bool was_mine = turn_is_mine_;
  turn_is_mine_ = mine && sent_at > term_seen_;
  if (turn_is_mine_ && !was_mine)
    turn_since_ = now;
  turn_is_elsewhere_ = !mine;
}

void GrantCoordinator::OnFleet(const Fleet& fleet,
                               const RouterConfiguration& plan,
                               BootTime now) {
  for (const auto& [name, upstream] : fleet_)
    unlisted_.insert_or_assign(name, upstream);
  fleet_ = fleet.upstreams();
  for (const auto& [name, policy] : plan.services)
    services_[name].owns_keys = policy.owns_keys;
  for (const auto& [name, upstream] : fleet_) {
    const auto at = services_.find(upstream.service);
    if (at == services_.end())
      continue;
    at->second.load.SetSlots(name, upstream.slots);
    if (at->second.first_upstream == BootTime{})
      at->second.first_upstream = now;
  }
}

void GrantCoordinator::OnLoadReport(const LoadReport& report, BootTime now) {
  if (!holder_)
    return;
  for (const auto& [service, load] : report.services) {
    const auto at = services_.find(service);
    if (at == services_.end() || !at->second.owns_keys)
      continue;
    at->second.load.Add(report.instance, load, now);
    for (const UpstreamIncarnation& incarnation : load.replaced) {
      OnIncarnationEnded(at->second, incarnation);
      at->second.avoided[incarnation.name] = now + kReplacedPause;
    }
  }
}

bool GrantCoordinator::IsActive(BootTime now) const {
  return holder_ && now < confirmed_at_ + options_.times.leader_lease_duration;
}

bool GrantCoordinator::ShouldClaim(BootTime now) const {
  if (!log_known_ || needs_log_ || holder_ || stopping_)
    return false;
  // The duty was with an earlier life of this instance, so that nobody else
  // can take it over as early.
  if (term_ && !term_->resigned && term_->instance == options_.instance)
    return true;
  const bool has_successor = term_ && !term_->successor.empty();
  if (has_successor && term_->successor == options_.instance)
    return true;
  if (!turn_is_mine_)
    return false;
  return !term_ || (term_->resigned && !has_successor) ||
         now >= std::max(turn_since_, term_seen_) + kHolderPatience;
}

bool GrantCoordinator::HasOpenGrant() const {
  return std::ranges::any_of(calls_, [](const auto& entry) {
    return entry.second.call.kind == KeyCall::Kind::kGrant;
  });
}

GrantActions GrantCoordinator::Poll(BootTime now) {
  GrantActions actions;
  const bool may_append = !append_ && now >= next_append_ && !needs_log_;
  if (!holder_) {
    if (may_append && ShouldClaim(now)) {
      append_ = LogAppend{{EncodeGrantLogRecord(MakeClaim())}, next_offset_};
      actions.append = append_;
    }
    return actions;
  }
  if (!IsActive(now))
    return actions;
  if (stopping_ || passing_on_) {
    if (!HasOpenGrant() && may_append) {
      append_ =
          LogAppend{{EncodeGrantLogRecord(MakeResignation(now))}, next_offset_};
      actions.append = append_;
    }
    return actions;
  }
  LogAppend append;
  append.at = next_offset_;
  const bool may_change = may_append && now >= next_change_;
  std::size_t row_count = 0;
  for (auto& [service, state] : services_) {
    if (!state.owns_keys)
      continue;
    PollRows(service, state, now, actions);
    row_count += state.rows.size();
    if (!may_change)
      continue;
    const std::uint64_t token = append.at + append.records.size();
    if (const auto table = PlanTable(service, state, token, now))
      append.records.push_back(
          EncodeGrantLogRecord(TableRecord{service, *table}));
  }
  if (may_append) {
    if (const auto reminder = MakeReminder(now))
      append.records.push_back(EncodeGrantLogRecord(*reminder));
  }
  if (!append.records.empty()) {
    next_change_ = now + kChangeSpacing +
                   kChangeSpacingPerRow * static_cast<std::int64_t>(row_count);
    append_ = std::move(append);
    actions.append = append_;
  }
  return actions;
}

}  // namespace pollenrudder
