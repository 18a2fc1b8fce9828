// The duty of granting keys to upstreams, held by one instance at a time.

#ifndef POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_
#define POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
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

// A state machine without I/O: events and the time go in, calls come out of
// Poll(). Every instance runs one; only the holder of the newest term on the
// shared log makes calls.
//
// Safety rests on these rules:
// - A term starts with a record that is appended only if the log ends where
//   its writer has read it to, and so does every change of a table. An instance
//   whose term is not the newest can change nothing.
// - The holder sends calls only within `leader_lease_duration` of the sending
// of a store
//   call that proved its term. A new holder renews what the log says, with the
//   same owner, at once, with a token of its own term; it changes an assignment
//   only when the former holder's lapse has passed, or when the owner has
//   accepted that token and so refuses the former holder's grants. It need not
//   wait for a holder that resigned or was an earlier life of the same
//   instance, but inherits the wait of that one.
// - Keys go to a new owner when the former one has released them, or when its
//   hold is over, and no grant without an answer can still take effect at it;
//   or when another upstream answers at its address.
//
// The turn only says who takes over when the holder is lost. A holder whose
// turn passes on keeps the duty, and appends its term again and again to show
// that it lives: every change of holder pauses the changes of assignments.
//
// A holder may resign in favour of a certain instance, which then takes over
// without the turn; if it does not, the owner of the turn does.
//
// Related: KeyPlanner decides the moves, KeyTable is what instances route by.
class GrantCoordinator {
 public:
  struct Options {
    std::string instance;
    std::string incarnation;
    std::string report_address;
    GrantDurations times;
  };

  explicit GrantCoordinator(Options options);

  // Records of the log in order, starting at or before next_offset(), and the
  // offset at which the log ends. `sent_at` is when the reading was sent.
  struct LogEntry {
    std::uint64_t offset = 0;
    GrantLogRecord record;
  };
  void OnLogRecords(const std::vector<LogEntry>& records,
                    std::uint64_t end,
                    BootTime sent_at,
                    BootTime now);
  // The newest record of each key, read when the log ended at `end`.
  void OnNewestRecords(std::vector<LogEntry> records,
                       std::uint64_t end,
                       BootTime now);
  void OnAppendEnded(LogAppendResult result, BootTime sent_at, BootTime now);
  // Whether this instance is the one that should hold the duty. Asked at
  // `sent_at`: an answer that is older than the newest term says nothing.
  void OnPreferredLeader(bool mine, BootTime sent_at, BootTime now);
  // A change of a table that the holder sent directly. Returns whether it could
  // be applied; otherwise the log has to be read.
  bool OnTableUpdate(const TableUpdate& update, BootTime now);
  // The changes of tables since the last call; the holder sends them to the
  // other instances, so that these need not wait for the log.
  std::vector<TableUpdate> TakeUpdates();
  void OnFleet(const Fleet& fleet,
               const RouterConfiguration& plan,
               BootTime now);
  void OnLoadReport(const LoadReport& report, BootTime now);
  // `handover` is what a release returned.
  void OnCallEnded(std::uint64_t id,
                   KeyCallResult result,
                   const std::string& handover,
                   BootTime now);
  // Ends the term in order; IsStopped() tells when that is done. `successor` is
  // the instance that is to take over, or empty.
  void Stop(const std::string& successor);
  // Resigns in favour of another instance. Does nothing unless this one is the
  // holder and waits for nobody.
  void TransferLeadership(const std::string& successor, BootTime now);

  // Returns what to do now. Call after each event and every few 10 ms.
  GrantActions Poll(BootTime now);

  bool IsLeader() const { return holder_; }
  // The instance that takes over when the holder is lost.
  bool IsPreferredLeader() const { return turn_is_mine_; }
  // Holder, with a term that the store has proved recently enough.
  bool IsActive(BootTime now) const;
  bool IsStopped() const { return stopping_ && !holder_ && !append_; }
  // An append ended in an unknown way, or failed: read the log now.
  bool NeedsLog() const { return needs_log_; }
  std::uint64_t next_offset() const { return next_offset_; }
  // The offset after the last record that changed a table or the holder.
  std::uint64_t last_change_offset() const { return last_change_; }
  // Changes with each change of a table.
  std::uint64_t tables_version() const { return tables_version_; }
  const std::map<std::string, KeyTable, std::less<>>& tables() const {
    return tables_;
  }
  const std::optional<GrantTermRecord>& term() const { return term_; }
  // The instance to which an earlier holder resigned did not take over, so that
  // this one had to.
  bool ReplacesSuccessor() const { return replaces_successor_; }
  std::uint64_t term_offset() const { return term_offset_; }
  // When this instance may change assignments; the epoch if it holds no term.
  BootTime changes_allowed_from() const { return changes_from_; }

 private:
  // An owner that was granted the keys before its assignment was replaced by
  // one that does not name it: by a record that was planned, or whose append
  // was thought to be lost, before the grant.
  struct SupersededOwner {
    FormerOwner owner;
    GrantExpiry grant_ttl;
  };
  // What the holder knows about one row.
  struct RowState {
    KeyAssignment row;
    GrantExpiry owner_hold;
    GrantExpiry former_hold;
    // All of them must have lost the keys before the owner gets them.
    std::vector<SupersededOwner> superseded;
    // Until then an owner that an earlier holder superseded may have the keys.
    BootTime unnamed_until{};
    // The former owner accepted a grant of this term before.
    bool former_secured = false;
    // The former owner released the keys.
    bool released = false;
    std::string handover;
    std::optional<std::uint64_t> release_call;
    BootTime next_release{};
    // A grant was sent to the owner, in this term or perhaps before it.
    bool grant_sent = false;
    // The owner accepted a grant in this term, and refuses those of others.
    bool granted = false;
    bool fenced = false;
    BootTime next_grant{};
    std::uint32_t failures = 0;
  };
  struct ServiceState {
    bool owns_keys = false;
    std::vector<RowState> rows;
    KeyLoad load;
    BootTime next_plan{};
    BootTime first_upstream{};
    // Upstreams whose calls failed, and until when they get no keys.
    std::map<std::string, BootTime, std::less<>> avoided;
  };
  struct OpenCall {
    KeyCall call;
    // The token of the assignment that the call is for.
    std::uint64_t row_token = 0;
  };

  void ApplyRecord(std::uint64_t offset,
                   const GrantLogRecord& record,
                   BootTime now);
  void ApplyTerm(std::uint64_t offset,
                 const GrantTermRecord& term,
                 BootTime now);
  void ApplyTable(std::uint64_t offset, const TableRecord& record);
  // Whether nobody but the owner of a moving row can use its keys.
  static bool IsFree(const RowState& row, BootTime now);
  static void CarryHolds(const RowState& old, RowState& next);
  // Builds the row states of a table that replaces another one.
  void CarryRows(ServiceState& state, const KeyTable& table) const;
  void BecomeLeader(const std::optional<GrantTermRecord>& former,
                    std::uint64_t offset,
                    std::chrono::milliseconds change_delay,
                    BootTime now);
  void ForgetHolderState();

  bool ShouldClaim(BootTime now) const;
  // How long after a claim an earlier holder may still send grants.
  std::chrono::milliseconds WaitAfterClaim() const;
  GrantTermRecord MakeClaim() const;
  GrantTermRecord MakeResignation(BootTime now) const;
  // The term once more: to show that its holder lives, or that its wait is
  // over.
  std::optional<GrantTermRecord> MakeReminder(BootTime now);
  bool HasOpenGrant() const;
  void PollRows(const std::string& service,
                ServiceState& state,
                BootTime now,
                GrantActions& actions);
  void PollMovingRow(const std::string& service,
                     RowState& row,
                     BootTime now,
                     GrantActions& actions);
  // The token for calls about an assignment. Grants carry one of this term, so
  // that upstreams refuse those of earlier holders that are still on their way.
  std::uint64_t CallToken(std::uint64_t row_token) const {
    return std::max(row_token, term_token_);
  }
  void SendGrant(const std::string& service,
                 RowState& row,
                 const ListedUpstream& upstream,
                 BootTime now,
                 GrantActions& actions);
  // Returns the new table if something is to be changed.
  std::optional<KeyTable> PlanTable(const std::string& service,
                                    ServiceState& state,
                                    std::uint64_t token,
                                    BootTime now);
  std::vector<KeyOwnerCandidate> Candidates(const std::string& service,
                                            const ServiceState& state,
                                            BootTime now) const;
  // The rows whose owner may have an unanswered grant, in order: they could not
  // be granted to another upstream soon.
  std::vector<KeyRange> PinnedRows(const ServiceState& state,
                                   BootTime now) const;
  // Whether the former holder of the duty can do nothing about a row any more.
  bool MayChange(const RowState& row, BootTime now) const;
  // Whether the keys of a moving row may be given to yet another owner.
  bool MayReplan(const RowState& row, BootTime now) const;
  const ListedUpstream* FindIncarnation(
      const UpstreamIncarnation& incarnation) const;
  // As FindIncarnation(), also for an upstream that is no longer listed.
  const ListedUpstream* FindFormerIncarnation(
      const UpstreamIncarnation& incarnation) const;
  void OnIncarnationEnded(ServiceState& state,
                          const UpstreamIncarnation& incarnation);

  const Options options_;
  std::map<std::string, ListedUpstream, std::less<>> fleet_;
  // The last entries of upstreams that were listed once.
  std::map<std::string, ListedUpstream, std::less<>> unlisted_;
  std::map<std::string, ServiceState, std::less<>> services_;

  // What the log says.
  bool log_known_ = false;
  bool needs_log_ = false;
  std::uint64_t next_offset_ = 0;
  std::uint64_t last_change_ = 0;
  std::uint64_t tables_version_ = 0;
  std::map<std::string, KeyTable, std::less<>> tables_;
  // Filled while this instance is the holder, and with the term that follows.
  std::vector<TableUpdate> updates_;
  std::optional<GrantTermRecord> term_;
  std::uint64_t term_offset_ = 0;

  bool turn_is_mine_ = false;
  BootTime turn_since_{};
  // When the newest term was learned.
  BootTime term_seen_{};
  // Another instance has the turn: it is to hear that this holder lives.
  bool turn_is_elsewhere_ = false;
  BootTime next_keep_{};
  bool stopping_ = false;
  // The term is being ended in favour of successor_.
  bool passing_on_ = false;
  std::string successor_;
  bool replaces_successor_ = false;
  bool holder_ = false;
  BootTime confirmed_at_{};
  BootTime changes_from_{};
  // The offset at which this term began, while this instance is the holder.
  std::uint64_t term_token_ = 0;
  // The append without an answer.
  std::optional<LogAppend> append_;
  BootTime next_append_{};
  BootTime next_change_{};
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, OpenCall> calls_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_COORDINATOR_H_
