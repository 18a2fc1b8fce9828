// Assigns keys to upstreams and keeps their grants renewed; one instance at a
// time is the leader that does so.

#ifndef POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_
#define POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "fleet/fleet.h"
#include "fleet/router_configuration.h"
#include "grants/grant_actions.h"
#include "grants/grant_durations.h"
#include "grants/grant_expiry.h"
#include "grants/key_load.h"
#include "grants/key_planner.h"
#include "grants/key_table.h"
#include "grants/table_update.h"

namespace pollenrudder {

// A state machine without I/O: the caller passes events and the time, and
// performs the calls that Poll() returns. Every instance runs one; only the
// leader, which has the newest term on the shared log, makes calls.
//
// Safety rests on these rules:
// - A term starts with a record that is appended only if the log ends where its
//   writer has read it to. Every change of a table is appended in the same way.
//   An instance whose term is not the newest can change nothing.
// - The leader sends calls only within `leader_lease_duration` after it sent a
//   store call that confirmed its term. A new leader renews the recorded grants
//   at once, for the same owners, with a token of its own term. It changes an
//   assignment only when the former leader's lease has expired, or when the
//   owner has accepted that token, is still listed and so rejects the former
//   leader's grants. It does not wait for a leader that resigned or that was an
//   earlier incarnation of the same instance, but inherits the wait of that
//   one.
// - An upstream that restarts under its name forgets the tokens that it has
//   accepted. So the leader renews a grant only over a connection that it
//   opened before any other instance can have begun a later term: such a
//   connection ends with the process that accepted the later leader's token.
//   MaySend() decides this for each connection. Grants of keys that are moving
//   need no such connection, because a new leader leaves these keys alone until
//   the lease of the former one has expired.
// - Keys go to a new owner when the former one has released them or its grants
//   have expired, and no unanswered grant can still take effect there; or when
//   another upstream responds at its address. The time of a grant runs from its
//   arrival, which for an unanswered one is known only once a later call to the
//   same availability zone is answered.
// - A record that cannot be decoded counts as unknown, not as absent. A term
//   like that belongs to another, live leader. A new leader that does not know
//   the table of a service assigns its keys only when every grant of earlier
//   leaders has expired.
//
// - The log may be replaced by an earlier copy of itself, so that acknowledged
//   records are lost (see base/log_position.h). Until the new log has a term,
//   nothing about its state is known. A leader that was confirmed within the
//   time in which all grants expire continues with the state in its memory and
//   appends a new term. Another instance may have become leader on the lost
//   part of the log; its calls can have moved, and can still move, only keys
//   whose owners have seen its token in a grant or release. So the leader first
//   renews each row with the token that it used before, which the owner rejects
//   in this case, over a connection from before the log was replaced, which
//   ends with the process that has seen that token; only then does it use
//   tokens of the new term, or move the keys. Any other instance waits for the
//   leader, and then until every grant of earlier leaders has expired, because
//   it knows no table.
//
// The preferred leader of the membership group takes over when the leader is
// lost. A leader that is no longer preferred stays leader and appends its term
// at intervals to show that it is alive, because every change of leader pauses
// the changes of assignments.
//
// A leader may resign in favor of a named successor, which takes over although
// it is not preferred. If the successor does not, the preferred leader does.
//
// Related: KeyPlanner plans the moves; instances route requests by KeyTable.
class GrantCoordinator {
 public:
  struct Options {
    std::string instance;
    std::string incarnation;
    std::string report_address;
    GrantDurations times;
    // Maps availability zones to regions.
    std::map<std::string, std::string, std::less<>> region_of_zone;
  };

  explicit GrantCoordinator(Options options);

  struct LogEntry {
    std::uint64_t offset = 0;
    GrantLogRecord record;
  };
  // Applies records of the log in order, starting at or before next_offset().
  // `end` is the offset at which the log ends, `sent_at` the time when the read
  // was sent.
  void OnLogRecords(const std::vector<LogEntry>& records,
                    std::uint64_t end,
                    BootTime sent_at,
                    BootTime now);
  // Applies the newest record of each key, read when the log ended at `end`. If
  // some were appended later, none is applied and the log has to be read. An
  // `end` in a later epoch than next_offset() shows that the log was replaced.
  void OnNewestRecords(std::vector<LogEntry> records,
                       std::uint64_t end,
                       BootTime now);
  void OnAppendEnded(LogAppendResult result, BootTime sent_at, BootTime now);
  // Sets whether this instance is the preferred leader, as of a membership call
  // sent at `sent_at`. It does not count as preferred if a term record or a
  // table update arrived after that.
  void OnPreferredLeader(bool is_preferred, BootTime sent_at, BootTime now);
  // Applies a table change that the leader sent directly. Returns false if it
  // cannot be applied and the log has to be read instead.
  bool OnTableUpdate(const TableUpdate& update, BootTime now);
  // The last change on the log is before `offset`.
  void OnLastChange(std::uint64_t offset) {
    misses_update_ |= !is_leader_ && offset > next_offset_;
  }
  // Returns the table changes since the last call. The leader sends them to the
  // other instances, which then need not wait for a log read.
  std::vector<TableUpdate> TakeUpdates();
  // Also collects the changes that this instance reads from the log while
  // another one is the leader.
  void set_collects_updates(bool collects) { collects_updates_ = collects; }
  void OnFleet(const Fleet& fleet,
               const RouterConfiguration& configuration,
               BootTime now);
  void OnLoadReport(const LoadReport& report, BootTime now);
  // A response of `upstream` states that it is leaving. It gets no more keys.
  void OnUpstreamLeaving(const std::string& service,
                         const UpstreamIncarnation& upstream);
  // Whether the call that Poll() returned with `id` may be sent now, over a
  // connection that was established by `connected_at`. If not, it has to end
  // with KeyCallResult::kWithheld, and the connection should stay open: the
  // call follows once the term is appended again.
  bool MaySend(std::uint64_t id, BootTime connected_at, BootTime now) const;
  // `handover` is the data that a release returned.
  void OnCallEnded(std::uint64_t id,
                   KeyCallResult result,
                   const std::string& handover,
                   BootTime now);
  // The log contains a record at `offset` that cannot be decoded.
  struct UnreadableRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string reason;
  };
  // Returns the records found since the last call that cannot be decoded.
  std::vector<UnreadableRecord> TakeUnreadableRecords() {
    return std::exchange(unreadable_records_, {});
  }
  // Ends the term with a resignation; IsStopped() returns whether that is
  // complete. `successor` is the instance that takes over, or empty for the
  // preferred leader.
  void Stop(const std::string& successor);
  // Resigns in favor of `successor`. Does nothing unless this instance is the
  // leader and may change assignments.
  void TransferLeadership(const std::string& successor, BootTime now);

  // Returns the calls and the append to start now. Call it after each event and
  // every few tens of milliseconds.
  GrantActions Poll(BootTime now);

  bool IsLeader() const { return is_leader_; }
  // Whether this instance takes over when the leader is lost.
  bool IsPreferredLeader() const { return is_preferred_; }
  // Whether this instance is the leader and the store has confirmed its term
  // recently enough.
  bool IsActive(BootTime now) const;
  bool IsStopped() const { return stopping_ && !is_leader_ && !append_; }
  // Whether the log has to be read now, for example after an append whose
  // outcome is unknown or an update that could not be applied.
  bool NeedsLog() const { return needs_log_ || misses_update_; }
  // Whether the updates from next_offset() on would make the read needless.
  bool NeedsOnlyUpdates() const { return misses_update_ && !needs_log_; }
  std::uint64_t next_offset() const { return next_offset_; }
  // The latest epoch of the log that is known.
  std::uint64_t log_epoch() const;
  // The offset after the last record that changed a table or the leader.
  std::uint64_t last_change_offset() const { return last_change_offset_; }
  // Increases with each change of a table.
  std::uint64_t tables_version() const { return tables_version_; }
  const std::map<std::string, KeyTable, std::less<>>& tables() const {
    return tables_;
  }
  const std::optional<GrantTermRecord>& term() const { return term_; }
  // Whether this instance became leader because the named successor of an
  // earlier leader did not take over.
  bool ReplacesSuccessor() const { return replaces_successor_; }
  std::uint64_t term_offset() const { return term_offset_; }
  // The time from which this instance may change assignments; the epoch if it
  // is not the leader.
  BootTime changes_allowed_from() const { return changes_allowed_from_; }

 private:
  // An owner that was granted the keys and is not named in the assignment that
  // replaced its own: the new record was planned before the grant, or its
  // append was considered lost.
  struct SupersededOwner {
    FormerOwner owner;
    GrantExpiry expiry;
  };
  // What the leader knows about one row.
  struct RowState {
    KeyAssignment row;
    GrantExpiry owner_expiry;
    GrantExpiry former_expiry;
    // The grants of all of these must have ended before the owner gets the
    // keys.
    std::vector<SupersededOwner> superseded;
    // Until this time, an owner that an earlier leader superseded, or to which
    // the lost part of a replaced log assigned the keys, may have the keys.
    BootTime unrecorded_owner_until{};
    // Set after the log was replaced: the token of renewals until the owner has
    // accepted one, which shows that no other leader has moved the keys.
    std::optional<std::uint64_t> unconfirmed_token;
    // Valid with unconfirmed_token: no other instance has begun a term on the
    // lost part of the log before this time.
    BootTime lost_terms_excluded_until{};
    // The former owner accepted a grant of this term, so it rejects those of
    // earlier leaders; or no other leader can have changed the move of this row
    // on the lost part of a replaced log.
    bool former_confirmed = false;
    // The former owner released the keys.
    bool released = false;
    std::string handover;
    std::optional<std::uint64_t> release_call;
    BootTime next_release{};
    // A grant was sent to the owner, in this term or possibly before it.
    bool grant_sent = false;
    // The owner accepted a grant of this term and rejects those of earlier
    // ones.
    bool grant_accepted = false;
    // The owner rejected a grant because it has accepted a higher token.
    bool fenced = false;
    BootTime next_grant{};
    // When a renewal was withheld last. The next one is sent once no other
    // instance can have begun a term before this time.
    BootTime withheld_at{};
    std::uint32_t failures = 0;
  };
  struct ServiceState {
    bool owns_keys = false;
    std::vector<RowState> rows;
    KeyLoad load;
    BootTime next_plan{};
    BootTime first_upstream_at{};
    // Upstreams that get no keys until the given time, because calls to them
    // failed or they were replaced.
    std::map<std::string, BootTime, std::less<>> excluded_until;
    // Start times, by name, of the incarnations that announced that they are
    // leaving. The instance list may not say so.
    std::map<std::string, std::chrono::milliseconds, std::less<>> leaving;
    // The regions whose upstreams may own keys, because the routes to the
    // service restrict their requests to them. Empty if all may.
    std::vector<std::string> regions;
    // Until then, upstreams that own no keys get none, because they are cold.
    std::map<std::string, BootTime, std::less<>> cold_until;
  };
  // The latest call to an availability zone that was answered.
  struct AnsweredCall {
    BootTime requested_at{};
    BootTime answered_at{};
  };
  // A log that replaced the known one and that has no term yet.
  struct ReplacedLog {
    std::uint64_t end = 0;
    BootTime seen_at{};
  };
  struct PendingCall {
    KeyCall call;
    BootTime requested_at{};
    // The token of the assignment that the call belongs to.
    std::uint64_t row_token = 0;
  };

  // Records until when `upstream`, which was `former` in the list before, if
  // any, is cold.
  static void RecordCold(ServiceState& state,
                         const ListedUpstream& upstream,
                         const ListedUpstream* former,
                         std::chrono::nanoseconds cold_time,
                         BootTime now);
  void ApplyRecord(std::uint64_t offset,
                   const GrantLogRecord& record,
                   BootTime now);
  void ApplyUnreadable(std::uint64_t offset,
                       const GrantLogRecord& record,
                       const std::string& reason,
                       BootTime now);
  void ApplyTerm(std::uint64_t offset,
                 const GrantTermRecord& term,
                 BootTime now);
  void ApplyTable(std::uint64_t offset, const TableRecord& record);
  // The records are those of a later epoch than next_offset().
  void OnReplacedLog(const std::vector<LogEntry>& records,
                     std::uint64_t end,
                     BootTime now);
  // Keeps the state of this leader while the new log has no term.
  void KeepStateOfLostLog(BootTime now);
  // Takes over the rows of an append that may have been on the lost part of the
  // log. Those that it moves get no owner before `until`.
  void AdoptUnknownAppend(BootTime until);
  // Starts to follow the new log, which has a term.
  void FollowReplacedLog(std::uint64_t offset);
  // This leader continues in the new log, where its term begins at `offset`.
  void ContinueLeadership(std::uint64_t offset,
                          const GrantTermRecord& term,
                          BootTime now);
  // When every grant of leaders that may send calls until `calls_end` has
  // expired.
  BootTime AllGrantsEnd(BootTime calls_end) const;
  // Whether the log may have had a table of the service that is not on it.
  bool IsTableUnknown(const std::string& service) const;
  // Whether this leader does not know the table of the service.
  bool IsUnknownToLeader(const std::string& service) const {
    return unknown_tables_.contains(service) ||
           (absent_tables_unknown_ && !known_tables_.contains(service));
  }
  // Whether the owners of the rows have to confirm them before the table is
  // written to a new log.
  bool AwaitsConfirmation(const std::string& service,
                          const ServiceState& state,
                          BootTime now) const;
  // Returns whether no upstream but the owner of a moving row can still use its
  // keys.
  static bool HaveOtherGrantsEnded(const RowState& row, BootTime now);
  static void CarryExpiries(const RowState& old, RowState& next);
  // No other instance has begun a term before the returned time.
  BootTime OtherTermsExcludedUntil() const;
  // As above, for terms whose leader could have moved the keys of `row`.
  BootTime OtherTermsExcludedUntil(const RowState& row) const;
  // Builds the row states for `table`, keeping the state of rows that overlap
  // earlier ones.
  void UpdateRowStates(ServiceState& state, const KeyTable& table) const;
  void BecomeLeader(const std::optional<GrantTermRecord>& former,
                    std::uint64_t offset,
                    std::chrono::milliseconds change_delay,
                    BootTime now);
  void ClearLeaderState();
  // Whether this incarnation started the newest known term.
  bool IsOwnTerm() const;

  bool ShouldClaim(BootTime now) const;
  std::uint64_t ClaimOffset() const {
    return replaced_log_ ? replaced_log_->end : next_offset_;
  }
  // How long after a claim an earlier leader may still send grants.
  std::chrono::milliseconds ChangeDelayAfterClaim(BootTime now) const;
  GrantTermRecord MakeClaim(BootTime now) const;
  GrantTermRecord MakeResignation(BootTime now) const;
  // Returns the current term to append again, if that is due: to show that the
  // leader is alive, so that no other instance takes over for a while, or to
  // record that its wait is over.
  std::optional<GrantTermRecord> MakeTermRenewal(BootTime now);
  bool HasPendingGrant() const;
  // The part of Poll() for a leader that has not started a term in the new log.
  void PollWithReplacedLog(bool may_append,
                           BootTime now,
                           GrantActions& actions);
  void PollRows(const std::string& service,
                ServiceState& state,
                BootTime now,
                GrantActions& actions);
  void PollMovingRow(const std::string& service,
                     RowState& row,
                     BootTime now,
                     GrantActions& actions);
  // The token for calls about an assignment. Grants carry one of this term, so
  // that upstreams reject late grants of earlier leaders.
  std::uint64_t CallToken(std::uint64_t row_token) const {
    return std::max(row_token, term_token_);
  }
  // Notes that all earlier calls to the zone of `upstream` have arrived.
  void RecordAnswer(const UpstreamIncarnation& upstream,
                    BootTime requested_at,
                    BootTime now);
  // Ends the uncertainty about grants of `upstream` that have arrived.
  void UpdateDelivery(const UpstreamIncarnation& upstream,
                      GrantExpiry& expiry) const;
  void UpdateDelivery(RowState& row) const;
  void SendGrant(const std::string& service,
                 RowState& row,
                 const ListedUpstream& upstream,
                 BootTime now,
                 GrantActions& actions);
  // Returns the new table if there is a change.
  std::optional<KeyTable> PlanTable(const std::string& service,
                                    ServiceState& state,
                                    std::uint64_t token,
                                    BootTime now);
  std::vector<KeyOwnerCandidate> Candidates(const std::string& service,
                                            const ServiceState& state,
                                            BootTime now) const;
  // Returns the rows, in key order, that could not be granted to another
  // upstream soon: an unanswered grant may be in effect, or an earlier leader
  // may still send one.
  std::vector<KeyRange> PinnedRows(const ServiceState& state,
                                   BootTime now) const;
  // Returns whether the former leader can no longer grant the keys of `row`.
  bool MayChangeOwner(const RowState& row, BootTime now) const;
  // Returns whether `upstream`, which has accepted a grant of this term, still
  // rejects those of earlier leaders. One that is not listed any more may have
  // restarted at its address and have forgotten the token.
  bool RejectsEarlierLeaders(const UpstreamIncarnation& upstream,
                             const GrantExpiry& expiry) const;
  // Returns whether the keys of a moving row may be assigned to yet another
  // owner.
  bool MayReassign(const RowState& row, BootTime now) const;
  const ListedUpstream* FindIncarnation(
      const UpstreamIncarnation& incarnation) const;
  // As FindIncarnation(), but includes upstreams that are no longer listed.
  const ListedUpstream* FindFormerIncarnation(
      const UpstreamIncarnation& incarnation) const;
  void OnIncarnationEnded(ServiceState& state,
                          const UpstreamIncarnation& incarnation);

  const Options options_;
  std::map<std::string, ListedUpstream, std::less<>> fleet_;
  // The version from which ServiceState::regions was taken.
  std::uint64_t configuration_version_ = 0;
  // Earlier entries of upstreams, which may no longer be listed.
  std::map<std::string, ListedUpstream, std::less<>> unlisted_;
  std::map<std::string, ServiceState, std::less<>> services_;

  // State read from the log.
  bool log_was_read_ = false;
  bool needs_log_ = false;
  // An update arrived that follows one that did not arrive.
  bool misses_update_ = false;
  std::uint64_t next_offset_ = 0;
  std::uint64_t last_change_offset_ = 0;
  std::uint64_t tables_version_ = 0;
  std::map<std::string, KeyTable, std::less<>> tables_;
  // The services whose newest table record cannot be decoded; `tables_` has an
  // earlier table, if any.
  std::set<std::string, std::less<>> unreadable_tables_;
  // These and the sets below differ in what a table is compared with: the
  // record cannot be decoded, is on the log at all, or is known to the leader.
  //
  // The services with a table record in the present epoch of the log. Used in
  // later epochs than the first: there, a table without a record is unknown,
  // and `tables_` has an earlier one, if any.
  std::set<std::string, std::less<>> recorded_tables_;
  // Set while the log has been replaced and the new one has no term.
  std::optional<ReplacedLog> replaced_log_;
  std::vector<UnreadableRecord> unreadable_records_;
  // Filled while this instance is the leader or collects updates, and with the
  // term that follows its own.
  std::vector<TableUpdate> updates_;
  bool collects_updates_ = false;
  std::optional<GrantTermRecord> term_;
  std::uint64_t term_offset_ = 0;

  bool is_preferred_ = false;
  BootTime preferred_since_{};
  // When the last term record or table update arrived, which shows that a
  // leader is alive.
  BootTime leader_seen_at_{};
  // Another instance is preferred and has to see that this leader is alive.
  bool other_is_preferred_ = false;
  BootTime next_term_renewal_{};
  bool stopping_ = false;
  // The leader is resigning in favor of successor_.
  bool transferring_ = false;
  std::string successor_;
  bool replaces_successor_ = false;
  bool is_leader_ = false;
  BootTime term_confirmed_at_{};
  // When the last append that contained a record of this leader's term was
  // sent.
  BootTime term_appended_at_{};
  // A call was withheld since then. An append of the term lets the following
  // calls go over new connections for a while.
  bool needs_term_renewal_ = false;
  BootTime changes_allowed_from_{};
  // The offset at which this term began; valid while this instance is the
  // leader.
  std::uint64_t term_token_ = 0;
  // Until this time, any upstream may have grants of a table that this leader
  // does not know.
  BootTime unknown_grants_until_{};
  // The tables that this leader knows. Without `absent_tables_unknown_`, these
  // are all but `unknown_tables_`.
  std::set<std::string, std::less<>> known_tables_;
  std::set<std::string, std::less<>> unknown_tables_;
  bool absent_tables_unknown_ = false;
  // Calls that were sent from this time on were sent after the log was
  // replaced.
  BootTime log_replaced_at_{};
  // Until this time, the owners of rows are given time to confirm them before
  // the tables are written to a new log.
  BootTime confirm_until_{};
  // The append whose outcome is not known yet.
  std::optional<LogAppend> append_;
  // An append of this leader that may have been executed, until the log is
  // read.
  std::optional<LogAppend> unknown_append_;
  BootTime next_append_{};
  BootTime next_table_change_{};
  std::uint64_t next_call_id_ = 1;
  std::map<std::uint64_t, PendingCall> calls_;
  // By availability zone.
  std::map<std::string, AnsweredCall, std::less<>> answered_calls_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_
