// GrantCoordinator: a log that was replaced by an earlier copy of itself.

#include <algorithm>
#include <variant>

#include "base/log_position.h"
#include "grants/grant_coordinator.h"

namespace pollenrudder {
namespace {

// Owners that have not confirmed their rows by then are likely lost.
constexpr std::chrono::milliseconds kConfirmationTime{1000};

}  // namespace

void GrantCoordinator::OnReplacedLog(const std::vector<LogEntry>& records,
                                     std::uint64_t end,
                                     BootTime now) {
  if (LogEpochOf(end) > log_epoch()) {
    replaced_log_ = ReplacedLog{end, now};
    KeepStateOfLostLog(now);
  }
  replaced_log_->end = std::max(replaced_log_->end, end);
  const auto term = std::ranges::find_if(records, [](const LogEntry& entry) {
    return IsTermKey(entry.record.key);
  });
  if (term == records.end())
    return;
  FollowReplacedLog(end);
  for (const LogEntry& entry : records)
    ApplyRecord(entry.offset, entry.record, now);
  next_offset_ = std::max(next_offset_, end);
  log_was_read_ = true;
  // The others cannot apply differences from tables of a former epoch.
  if (!is_leader_)
    updates_.clear();
}

void GrantCoordinator::KeepStateOfLostLog(BootTime now) {
  if (!is_leader_)
    return;
  const GrantDurations& times = options_.times;
  // A leader on the lost part of the log began its term after this time, and
  // its calls end within a lease from now. Until then, its calls move keys only
  // of owners that have seen its token: others keep their grants for longer. A
  // resignation of this leader may have been on that part, too.
  const BootTime state_usable_until = AllGrantsEnd(term_confirmed_at_);
  if (now >= state_usable_until || stopping_ || transferring_) {
    ClearLeaderState();
    return;
  }
  log_replaced_at_ = now;
  const BootTime calls_end =
      now + times.WithDriftMargin(times.leader_lease_duration);
  changes_allowed_from_ = std::max(changes_allowed_from_, calls_end);
  unknown_grants_until_ =
      std::max(unknown_grants_until_, AllGrantsEnd(calls_end));
  AdoptUnknownAppend(unknown_grants_until_);
  for (auto& [service, state] : services_) {
    // After the lease, another leader could also have granted keys without an
    // owner.
    if (!IsActive(now) && !tables_[service].Gaps().empty()) {
      unknown_tables_.insert(service);
      tables_[service] = KeyTable();
      ++tables_version_;
      state.rows.clear();
    }
    for (RowState& row : state.rows) {
      row.grant_accepted = false;
      // Within the lease, no other leader could change rows that move, unless
      // the log may have had the end of the move.
      if (row.row.moving && IsActive(now) &&
          row.unrecorded_owner_until < unknown_grants_until_) {
        row.former_confirmed = true;
        continue;
      }
      row.unrecorded_owner_until =
          std::max(row.unrecorded_owner_until, unknown_grants_until_);
      if (row.row.moving)
        continue;
      if (!row.unconfirmed_token) {
        row.unconfirmed_token = CallToken(row.row.token);
        row.lost_terms_excluded_until = OtherTermsExcludedUntil();
      }
      row.next_grant = now;
    }
  }
}

void GrantCoordinator::AdoptUnknownAppend(BootTime until) {
  const std::optional<LogAppend> append = append_ ? append_ : unknown_append_;
  unknown_append_.reset();
  if (!append)
    return;
  for (const GrantLogRecord& encoded : append->records) {
    const auto parsed = ParseGrantLogRecord(encoded);
    const auto* record =
        parsed ? std::get_if<TableRecord>(&parsed.value()) : nullptr;
    if (record == nullptr)
      continue;
    ServiceState& state = services_[record->service];
    UpdateRowStates(state, record->table);
    // A leader that read the append moves these keys; one that did not may
    // leave them where they were. Rows that are not new have a token from
    // before.
    for (RowState& row : state.rows) {
      if (row.row.moving && row.row.token >= append->at)
        row.unrecorded_owner_until =
            std::max(row.unrecorded_owner_until, until);
    }
  }
}

void GrantCoordinator::FollowReplacedLog(std::uint64_t offset) {
  next_offset_ = offset;
  last_change_offset_ = offset;
  replaced_log_.reset();
  recorded_tables_.clear();
  unreadable_tables_.clear();
  // A leader compares the new term with its former one.
  if (!is_leader_)
    term_.reset();
}

void GrantCoordinator::ContinueLeadership(std::uint64_t offset,
                                          const GrantTermRecord& term,
                                          BootTime now) {
  term_ = term;
  term_offset_ = offset;
  term_token_ = offset;
  leader_seen_at_ = now;
  last_change_offset_ = offset + 1;
  confirm_until_ = now + kConfirmationTime;
}

void GrantCoordinator::PollWithReplacedLog(bool may_append,
                                           BootTime now,
                                           GrantActions& actions) {
  if (stopping_) {
    ClearLeaderState();
    return;
  }
  if (may_append) {
    append_ = LogAppend{{EncodeGrantLogRecord(MakeClaim(now))}, ClaimOffset()};
    actions.append = append_;
  }
  if (!IsActive(now))
    return;
  for (auto& [service, state] : services_) {
    if (state.owns_keys)
      PollRows(service, state, now, actions);
  }
}

}  // namespace pollenrudder
