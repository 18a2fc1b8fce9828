// Log events of the ownership package.

#ifndef POLLENRUDDER_OWNERSHIP_OWNERSHIP_EVENTS_H_
#define POLLENRUDDER_OWNERSHIP_OWNERSHIP_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// A section has taken effect at this log offset.
inline constexpr LogEvent kSectionApplied{2001, "section_applied",
                                          LogLevel::kInfo};
// A section on the log was refused because of its version or its content.
inline constexpr LogEvent kSectionRefused{2002, "section_refused",
                                          LogLevel::kWarning};
// A record was ignored because a precondition failed.
inline constexpr LogEvent kRecordIgnored{2003, "record_ignored",
                                         LogLevel::kInfo};
// Data on the log is not a record of this system.
inline constexpr LogEvent kRecordMalformed{2004, "record_malformed",
                                           LogLevel::kWarning};
// A newer version wrote a record; this instance stops appending records.
inline constexpr LogEvent kRecordUnsupported{2005, "record_unsupported",
                                             LogLevel::kError};
// The log ends below the applied records; this instance applies no more of its
// records.
inline constexpr LogEvent kLogRegression{2006, "log_regressed",
                                         LogLevel::kError};
// Records expired before they were read; this instance waits for a checkpoint.
inline constexpr LogEvent kCheckpointAwaited{2007, "checkpoint_awaited",
                                             LogLevel::kWarning};
// The table was loaded from a checkpoint on the log.
inline constexpr LogEvent kCheckpointLoaded{2008, "checkpoint_loaded",
                                            LogLevel::kInfo};
// This instance appended a checkpoint.
inline constexpr LogEvent kCheckpointWritten{2009, "checkpoint_written",
                                             LogLevel::kInfo};

// A new term of an upstream was read.
inline constexpr LogEvent kTermRead{2010, "term_read", LogLevel::kInfo};
// This instance proposes the first term of an upstream.
inline constexpr LogEvent kFirstTermSent{2011, "first_term_sent",
                                         LogLevel::kInfo};
// This instance claims an upstream whose leader is unresponsive or declared
// lost.
inline constexpr LogEvent kClaimSent{2012, "claim_sent", LogLevel::kInfo};
// This instance withdraws a claim or handover whose outcome is unknown.
inline constexpr LogEvent kAbandonSent{2013, "abandon_sent",
                                       LogLevel::kWarning};
// This instance leads the upstream and may send requests to it.
inline constexpr LogEvent kLeadershipStarted{2014, "leadership_started",
                                             LogLevel::kInfo};
// This instance no longer leads the upstream.
inline constexpr LogEvent kLeadershipEnded{2015, "leadership_ended",
                                           LogLevel::kInfo};
// The lease of a led upstream has expired and no newer term was read.
inline constexpr LogEvent kLeaseLapsed{2016, "lease_lapsed",
                                       LogLevel::kWarning};
// An expired lease of a led upstream is valid again.
inline constexpr LogEvent kLeaseRegained{2017, "lease_regained",
                                         LogLevel::kInfo};
// This instance replaces the voters or the isolation hold of a term.
inline constexpr LogEvent kReviseSent{2018, "revise_sent", LogLevel::kInfo};
// This instance hands a term over to another instance.
inline constexpr LogEvent kHandoverSent{2019, "handover_sent", LogLevel::kInfo};
// A handover was canceled; this instance continues to lead the upstream.
inline constexpr LogEvent kHandoverGivenUp{2020, "handover_given_up",
                                           LogLevel::kWarning};
// This instance removes an upstream that is gone.
inline constexpr LogEvent kRetireSent{2021, "retire_sent", LogLevel::kInfo};
// This instance refused a promise.
inline constexpr LogEvent kPromiseRefused{2022, "promise_refused",
                                          LogLevel::kInfo};

// Shards without an owner are placed.
inline constexpr LogEvent kPlacementSent{2030, "placement_sent",
                                         LogLevel::kInfo};
// Shards are drained before a move.
inline constexpr LogEvent kDrainStarted{2031, "drain_started", LogLevel::kInfo};
// Drained shards are assigned a new owner.
inline constexpr LogEvent kMoveSent{2032, "move_sent", LogLevel::kInfo};
// A move was canceled; its shards keep their owner.
inline constexpr LogEvent kMoveGivenUp{2033, "move_given_up",
                                       LogLevel::kWarning};
// Shards wait for a target because no upstream of the service accepts them.
inline constexpr LogEvent kNoTarget{2034, "no_target", LogLevel::kWarning};
// The observed state of a led upstream changed: reachable, suspect or lost.
inline constexpr LogEvent kUpstreamState{2035, "upstream_state",
                                         LogLevel::kInfo};
// The planner advises a leader to move shards.
inline constexpr LogEvent kMoveAdvised{2036, "move_advised", LogLevel::kInfo};
// A fingerprint that crashed two upstreams is quarantined.
inline constexpr LogEvent kQuarantineSent{2037, "quarantine_sent",
                                          LogLevel::kWarning};
// The upstream entered or left the stopping state, in which it gets no shards.
inline constexpr LogEvent kUpstreamStopping{2038, "upstream_stopping",
                                            LogLevel::kInfo};

// This instance is leaving: it takes no leadership and hands over its terms.
inline constexpr LogEvent kLeaveStarted{2040, "leave_started", LogLevel::kInfo};
// All terms are handed over, or no instance can take them over.
inline constexpr LogEvent kLeaveCompleted{2041, "leave_completed",
                                          LogLevel::kInfo};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_OWNERSHIP_EVENTS_H_
