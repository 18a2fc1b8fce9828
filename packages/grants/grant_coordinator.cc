// GrantCoordinator: the log and the term. grant_coordinator_rows.cc has the
// rows of the tables, grant_coordinator_replaced_log.cc what follows when the
// log was replaced; the header states the safety rules.

#include "grants/grant_coordinator.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/log_position.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// Delay after a failed append.
constexpr milliseconds kAppendRetryDelay{100};
// A leader that is not preferred appends its term at this interval. The
// preferred leader considers it lost when no sign of it arrives for
// kLeaderTimeout. A live leader learns within a second that another instance is
// preferred.
constexpr milliseconds kTermRenewalInterval{1000};
constexpr milliseconds kLeaderTimeout{1900};
// No other instance takes over within this time after a term record was
// appended. Shorter than kLeaderTimeout, because clocks drift.
constexpr milliseconds kExclusiveTime{1800};
// Minimum time between changes of the tables. A record holds all rows, so large
// tables change less often.
constexpr milliseconds kMinChangeInterval{20};
constexpr std::chrono::microseconds kMinChangeIntervalPerRow{100};

}  // namespace

GrantCoordinator::GrantCoordinator(Options options)
    : options_(std::move(options)) {}

void GrantCoordinator::OnLogRecords(const std::vector<LogEntry>& records,
                                    std::uint64_t end,
                                    BootTime sent_at,
                                    BootTime now) {
  // The response of a former log may arrive late.
  if (LogEpochOf(end) != LogEpochOf(next_offset_))
    return;
  for (const LogEntry& entry : records) {
    if (entry.offset >= next_offset_)
      ApplyRecord(entry.offset, entry.record, now);
  }
  next_offset_ = std::max(next_offset_, end);
  log_was_read_ = true;
  needs_log_ = false;
  misses_update_ = false;
  unknown_append_.reset();
  if (is_leader_)
    term_confirmed_at_ = std::max(term_confirmed_at_, sent_at);
}

void GrantCoordinator::OnNewestRecords(std::vector<LogEntry> records,
                                       std::uint64_t end,
                                       BootTime now) {
  if (LogEpochOf(end) < log_epoch())
    return;
  misses_update_ = false;
  // The newest records are read in pages, which are not a consistent snapshot.
  // A record that was appended during the read hides an earlier one of the same
  // key, so the state up to `end` is not known.
  needs_log_ = std::ranges::any_of(
      records, [end](const LogEntry& entry) { return entry.offset >= end; });
  if (needs_log_)
    return;
  std::ranges::sort(records, {}, &LogEntry::offset);
  if (LogEpochOf(end) > LogEpochOf(next_offset_)) {
    OnReplacedLog(records, end, now);
    return;
  }
  const bool is_announced = collects_updates_ || IsOwnTerm();
  const std::vector<TableUpdate> pending = TakeUpdates();
  const bool was_leader = is_leader_;
  const std::uint64_t first_offset = next_offset_;
  const std::uint64_t last_change_before = last_change_offset_;
  // The newest record of a key hides those before it, so the records describe
  // the state of the log only together.
  const bool collects = std::exchange(collects_updates_, true);
  for (const LogEntry& entry : records) {
    if (entry.offset >= next_offset_)
      ApplyRecord(entry.offset, entry.record, now);
  }
  collects_updates_ = collects;
  std::vector<TableUpdate> updates = TakeUpdates();
  // The leader of a newer record may be the known one and have resigned in
  // between, which the other instances may know.
  if (term_ && term_offset_ >= first_offset &&
      std::ranges::none_of(updates, [](const TableUpdate& update) {
        return update.term.has_value();
      })) {
    updates.push_back(
        {"", term_offset_, last_change_before, {}, term_, term_offset_});
    last_change_offset_ = std::max(last_change_offset_, term_offset_ + 1);
  }
  const std::optional<TableUpdate> update = MergeUpdates(updates);
  if (was_leader == is_leader_)
    updates_ = pending;
  if (update && is_announced)
    updates_.push_back(*update);
  next_offset_ = std::max(next_offset_, end);
  log_was_read_ = true;
}

std::uint64_t GrantCoordinator::log_epoch() const {
  return LogEpochOf(ClaimOffset());
}

BootTime GrantCoordinator::AllGrantsEnd(BootTime calls_end) const {
  const GrantDurations& times = options_.times;
  return calls_end + times.call_timeout + times.max_delivery_time +
         times.WithDriftMargin(times.grant_ttl);
}

bool GrantCoordinator::IsTableUnknown(const std::string& service) const {
  return unreadable_tables_.contains(service) ||
         (LogEpochOf(next_offset_) > 0 && !recorded_tables_.contains(service));
}

bool GrantCoordinator::IsOwnTerm() const {
  return term_ && term_->instance == options_.instance &&
         term_->incarnation == options_.incarnation;
}

void GrantCoordinator::ApplyRecord(std::uint64_t offset,
                                   const GrantLogRecord& record,
                                   BootTime now) {
  next_offset_ = std::max(next_offset_, offset + 1);
  const auto parsed = ParseGrantLogRecord(record);
  if (!parsed)
    ApplyUnreadable(offset, record, parsed.error().message, now);
  else if (const auto* term = std::get_if<GrantTermRecord>(&parsed.value()))
    ApplyTerm(offset, *term, now);
  else
    ApplyTable(offset, std::get<TableRecord>(parsed.value()));
}

void GrantCoordinator::ApplyUnreadable(std::uint64_t offset,
                                       const GrantLogRecord& record,
                                       const std::string& reason,
                                       BootTime now) {
  const auto service = ServiceOfTableKey(record.key);
  if (!service && !IsTermKey(record.key))
    return;
  unreadable_records_.push_back({offset, record.key, reason});
  if (!service) {
    // A term of an unknown instance, which may be granting keys.
    ApplyTerm(offset, GrantTermRecord(), now);
    return;
  }
  unreadable_tables_.insert(*service);
  last_change_offset_ = offset + 1;
}

void GrantCoordinator::ApplyTerm(std::uint64_t offset,
                                 const GrantTermRecord& term,
                                 BootTime now) {
  const bool is_own = term.instance == options_.instance &&
                      term.incarnation == options_.incarnation;
  if (is_leader_ && is_own && !term.resigned &&
      LogEpochOf(offset) > LogEpochOf(term_offset_)) {
    ContinueLeadership(offset, term, now);
    return;
  }
  const bool follows_own_term = IsOwnTerm();
  const std::optional<GrantTermRecord> former = std::exchange(term_, term);
  term_offset_ = offset;
  leader_seen_at_ = now;
  const bool same_leader = former && former->instance == term.instance &&
                           former->incarnation == term.incarnation &&
                           !former->resigned;
  if (same_leader && !term.resigned)
    return;
  const TableUpdate update{"", offset, last_change_offset_, {}, term, offset};
  last_change_offset_ = offset + 1;
  // Prevents two instances that both consider themselves preferred from taking
  // the leadership from each other repeatedly.
  is_preferred_ = false;
  if (is_own && !term.resigned)
    BecomeLeader(former, offset, term.change_delay, now);
  else if (is_leader_)
    ClearLeaderState();
  // The other instances report to the former leader and learn of its successor
  // from it.
  if (follows_own_term || collects_updates_)
    updates_.push_back(update);
}

void GrantCoordinator::ApplyTable(std::uint64_t offset,
                                  const TableRecord& record) {
  // The other instances have to read this record even if this one knew its
  // table.
  const bool was_unknown = IsTableUnknown(record.service);
  unreadable_tables_.erase(record.service);
  recorded_tables_.insert(record.service);
  if (is_leader_) {
    known_tables_.insert(record.service);
    unknown_tables_.erase(record.service);
  }
  KeyTable& table = tables_[record.service];
  if (table == record.table && !was_unknown)
    return;
  if (is_leader_ || collects_updates_) {
    TableUpdate update{record.service, offset, last_change_offset_, {}, {}, 0};
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
  last_change_offset_ = offset + 1;
  if (is_leader_)
    UpdateRowStates(services_[record.service], table);
}

bool GrantCoordinator::OnTableUpdate(const TableUpdate& update, BootTime now) {
  if (is_leader_ || update.offset < next_offset_)
    return true;
  const bool is_table_unknown =
      !update.service.empty() && IsTableUnknown(update.service);
  if (!log_was_read_ || update.unchanged_since > next_offset_ ||
      is_table_unknown) {
    misses_update_ = true;
    return false;
  }
  misses_update_ = false;
  next_offset_ = update.offset + 1;
  if (!update.service.empty()) {
    KeyTable& table = tables_[update.service];
    for (const KeyAssignment& row : update.rows)
      table.Assign(row);
    ++tables_version_;
    // The skipped records may include renewals of the term; the update itself
    // shows that the leader is alive.
    leader_seen_at_ = now;
  }
  if (update.term) {
    const std::size_t collected = updates_.size();
    ApplyTerm(update.term_offset, *update.term, now);
    if (updates_.size() > collected)
      updates_.back() = update;
  }
  last_change_offset_ = next_offset_;
  return true;
}

std::vector<TableUpdate> GrantCoordinator::TakeUpdates() {
  return std::exchange(updates_, {});
}

milliseconds GrantCoordinator::ChangeDelayAfterClaim(BootTime now) const {
  const auto lease_duration =
      options_.times.WithDriftMargin(options_.times.leader_lease_duration);
  // Leaders of the former log had their last confirmation before it was
  // replaced.
  if (replaced_log_) {
    return std::chrono::ceil<milliseconds>(std::max<std::chrono::nanoseconds>(
        replaced_log_->seen_at + lease_duration - now, {}));
  }
  if (!term_)
    return milliseconds(0);
  // A leader that resigned has no call in progress, and an earlier incarnation
  // of this instance has ended. Only leaders before them may still send grants.
  if (term_->resigned || term_->instance == options_.instance)
    return term_->change_delay;
  return std::chrono::ceil<milliseconds>(lease_duration);
}

GrantTermRecord GrantCoordinator::MakeClaim(BootTime now) const {
  GrantTermRecord term;
  term.instance = options_.instance;
  term.incarnation = options_.incarnation;
  term.report_address = options_.report_address;
  term.change_delay = ChangeDelayAfterClaim(now);
  return term;
}

GrantTermRecord GrantCoordinator::MakeResignation(BootTime now) const {
  BootTime unanswered_until = now;
  for (const auto& [service, state] : services_) {
    for (const RowState& row : state.rows) {
      unanswered_until = std::max(
          {unanswered_until, row.owner_expiry.unanswered_end(),
           row.former_expiry.unanswered_end(), row.unrecorded_owner_until});
      // The log does not name these owners, so a successor cannot have them
      // release the keys.
      for (const SupersededOwner& superseded : row.superseded)
        unanswered_until = std::max(unanswered_until, superseded.expiry.end());
    }
  }
  GrantTermRecord term = *term_;
  term.resigned = true;
  term.change_delay = std::chrono::ceil<milliseconds>(
      std::max<std::chrono::nanoseconds>(changes_allowed_from_ - now, {}));
  term.unanswered_grant_ttl =
      std::chrono::ceil<milliseconds>(unanswered_until - now);
  term.successor = successor_;
  return term;
}

void GrantCoordinator::Stop(const std::string& successor) {
  stopping_ = true;
  successor_ = successor;
}

void GrantCoordinator::TransferLeadership(const std::string& successor,
                                          BootTime now) {
  if (!is_leader_ || stopping_ || transferring_ || replaced_log_ ||
      now < changes_allowed_from_)
    return;
  // A successor would have to wait for the grants of a table that it does not
  // know.
  if (!unreadable_tables_.empty() ||
      std::ranges::any_of(services_, [this](const auto& entry) {
        return entry.second.owns_keys && IsTableUnknown(entry.first);
      }))
    return;
  transferring_ = true;
  successor_ = successor;
}

std::optional<GrantTermRecord> GrantCoordinator::MakeTermRenewal(BootTime now) {
  // The waits for earlier leaders are over, so a successor need not repeat
  // them.
  const bool wait_is_over =
      term_->change_delay.count() > 0 && now >= changes_allowed_from_;
  const bool renewal_is_due =
      (other_is_preferred_ || needs_term_renewal_) && now >= next_term_renewal_;
  if (!wait_is_over && !renewal_is_due)
    return std::nullopt;
  needs_term_renewal_ = false;
  next_term_renewal_ = now + kTermRenewalInterval;
  GrantTermRecord renewal = *term_;
  if (wait_is_over)
    renewal.change_delay = milliseconds(0);
  return renewal;
}

void GrantCoordinator::BecomeLeader(
    const std::optional<GrantTermRecord>& former,
    std::uint64_t offset,
    milliseconds change_delay,
    BootTime now) {
  is_leader_ = true;
  term_token_ = offset;
  replaces_successor_ = former && former->resigned &&
                        !former->successor.empty() &&
                        former->successor != options_.instance;
  changes_allowed_from_ = now + change_delay;
  // By this time, the last grant of an earlier leader has been answered or has
  // timed out, has arrived, and has expired.
  const BootTime answered_until = AllGrantsEnd(changes_allowed_from_);
  // A later epoch had leaders before it.
  const bool is_first_term = !former && LogEpochOf(offset) == 0;
  const bool no_wait = is_first_term || (former && former->resigned &&
                                         change_delay.count() == 0);
  const BootTime unanswered_until =
      no_wait ? now + (former ? former->unanswered_grant_ttl : milliseconds(0))
              : answered_until;
  unknown_grants_until_ = answered_until;
  known_tables_ = recorded_tables_;
  unknown_tables_ = unreadable_tables_;
  absent_tables_unknown_ = LogEpochOf(offset) > 0;
  for (auto& [service, table] : tables_) {
    if (!IsTableUnknown(service))
      continue;
    table = KeyTable();
    ++tables_version_;
  }
  for (auto& [service, table] : tables_) {
    ServiceState& state = services_[service];
    state.rows.clear();
    UpdateRowStates(state, table);
    for (RowState& row : state.rows) {
      row.grant_sent = true;
      // A row that is not moving was granted only after all other grants had
      // ended.
      if (row.row.moving)
        row.unrecorded_owner_until = unanswered_until;
      for (GrantExpiry* expiry : {&row.owner_expiry, &row.former_expiry}) {
        expiry->AssumeAnsweredUntil(answered_until);
        expiry->AssumeUnansweredUntil(unanswered_until);
      }
    }
  }
}

void GrantCoordinator::ClearLeaderState() {
  is_leader_ = false;
  transferring_ = false;
  term_confirmed_at_ = {};
  term_appended_at_ = {};
  needs_term_renewal_ = false;
  changes_allowed_from_ = {};
  unknown_grants_until_ = {};
  unknown_append_.reset();
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
  // Nobody will ever read the records.
  if (LogEpochOf(append.at) < log_epoch())
    return;
  if (result == LogAppendResult::kDone) {
    if (replaced_log_ && append.at == replaced_log_->end)
      FollowReplacedLog(append.at);
    if (append.at == next_offset_) {
      for (const GrantLogRecord& record : append.records)
        ApplyRecord(next_offset_, record, now);
    }
    if (is_leader_) {
      term_confirmed_at_ = std::max(term_confirmed_at_, sent_at);
      if (std::ranges::any_of(append.records, [](const GrantLogRecord& record) {
            return IsTermKey(record.key);
          }))
        term_appended_at_ = std::max(term_appended_at_, sent_at);
    }
    return;
  }
  if (result == LogAppendResult::kUnknown && is_leader_)
    unknown_append_ = append;
  next_append_ = now + kAppendRetryDelay;
  needs_log_ = result != LogAppendResult::kRejected;
}

void GrantCoordinator::OnPreferredLeader(bool is_preferred,
                                         BootTime sent_at,
                                         BootTime now) {
  const bool was_preferred = is_preferred_;
  is_preferred_ = is_preferred && sent_at > leader_seen_at_;
  if (is_preferred_ && !was_preferred)
    preferred_since_ = now;
  other_is_preferred_ = !is_preferred;
}

bool GrantCoordinator::IsActive(BootTime now) const {
  return is_leader_ &&
         now < term_confirmed_at_ + options_.times.leader_lease_duration;
}

BootTime GrantCoordinator::OtherTermsExcludedUntil() const {
  return std::max(term_confirmed_at_, term_appended_at_ + kExclusiveTime);
}

BootTime GrantCoordinator::OtherTermsExcludedUntil(const RowState& row) const {
  return row.unconfirmed_token ? row.lost_terms_excluded_until
                               : OtherTermsExcludedUntil();
}

bool GrantCoordinator::ShouldClaim(BootTime now) const {
  // The leader of the former log, if it is still there, continues at once.
  if (replaced_log_ && !NeedsLog() && !is_leader_ && !stopping_) {
    return is_preferred_ &&
           now >= std::max(preferred_since_, replaced_log_->seen_at) +
                      kLeaderTimeout;
  }
  if (!log_was_read_ || NeedsLog() || is_leader_ || stopping_)
    return false;
  // The leader was an earlier incarnation of this instance, so no other
  // instance can take over as early.
  if (term_ && !term_->resigned && term_->instance == options_.instance)
    return true;
  const bool has_successor = term_ && !term_->successor.empty();
  if (has_successor && term_->successor == options_.instance)
    return true;
  if (!is_preferred_)
    return false;
  return !term_ || (term_->resigned && !has_successor) ||
         now >= std::max(preferred_since_, leader_seen_at_) + kLeaderTimeout;
}

bool GrantCoordinator::HasPendingGrant() const {
  return std::ranges::any_of(calls_, [](const auto& entry) {
    return entry.second.call.kind == KeyCall::Kind::kGrant;
  });
}

GrantActions GrantCoordinator::Poll(BootTime now) {
  GrantActions actions;
  const bool may_append = !append_ && now >= next_append_ && !needs_log_;
  if (!is_leader_) {
    if (may_append && ShouldClaim(now)) {
      append_ =
          LogAppend{{EncodeGrantLogRecord(MakeClaim(now))}, ClaimOffset()};
      actions.append = append_;
    }
    return actions;
  }
  if (replaced_log_) {
    PollWithReplacedLog(may_append, now, actions);
    return actions;
  }
  if (!IsActive(now))
    return actions;
  if (stopping_ || transferring_) {
    if (!HasPendingGrant() && may_append) {
      append_ =
          LogAppend{{EncodeGrantLogRecord(MakeResignation(now))}, next_offset_};
      actions.append = append_;
    }
    return actions;
  }
  LogAppend append;
  append.at = next_offset_;
  const bool may_change = may_append && now >= next_table_change_;
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
    if (const auto renewal = MakeTermRenewal(now))
      append.records.push_back(EncodeGrantLogRecord(*renewal));
  }
  if (!append.records.empty()) {
    next_table_change_ =
        now + kMinChangeInterval +
        kMinChangeIntervalPerRow * static_cast<std::int64_t>(row_count);
    append_ = std::move(append);
    actions.append = append_;
  }
  return actions;
}

}  // namespace pollenrudder
