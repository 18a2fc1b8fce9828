// Log events of routing decisions.

#ifndef POLLENRUDDER_ROUTING_ROUTING_EVENTS_H_
#define POLLENRUDDER_ROUTING_ROUTING_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// A request was assigned to an upstream.
inline constexpr LogEvent kRequestRouted{3001, "request_routed",
                                         LogLevel::kInfo};
// A request was refused before it was sent.
inline constexpr LogEvent kRequestRefused{3002, "request_refused",
                                          LogLevel::kInfo};
// A request is sent again after a delay.
inline constexpr LogEvent kRequestRetried{3003, "request_retried",
                                          LogLevel::kInfo};
// A retry was not made because the retry budget is spent.
inline constexpr LogEvent kRetryBudgetSpent{3004, "retry_budget_spent",
                                            LogLevel::kWarning};
// A request id was issued.
inline constexpr LogEvent kRequestIdIssued{3005, "request_id_issued",
                                           LogLevel::kInfo};
// A request id was refused: invalid, of another epoch or past its lifetime.
inline constexpr LogEvent kRequestIdRefused{3006, "request_id_refused",
                                            LogLevel::kWarning};
// A repeat of a non-repeatable request was answered from its record.
inline constexpr LogEvent kRepeatAnswered{3007, "repeat_answered",
                                          LogLevel::kInfo};
// The request records are full: new ids are refused as not run.
inline constexpr LogEvent kRequestRecordsFull{3008, "request_records_full",
                                              LogLevel::kWarning};
// An answer was too large to be kept for repeats.
inline constexpr LogEvent kAnswerNotKept{3009, "answer_not_kept",
                                         LogLevel::kWarning};
// A fingerprint was marked suspect after a crash.
inline constexpr LogEvent kFingerprintSuspected{3010, "fingerprint_suspected",
                                                LogLevel::kWarning};
// A fingerprint was quarantined after a second crash.
inline constexpr LogEvent kFingerprintQuarantined{
    3011, "fingerprint_quarantined", LogLevel::kError};
// A suspect fingerprint was cleared by an answer.
inline constexpr LogEvent kFingerprintCleared{3012, "fingerprint_cleared",
                                              LogLevel::kInfo};
// A fingerprint was answered after its quarantine had ended.
inline constexpr LogEvent kFalseQuarantine{3013, "false_quarantine",
                                           LogLevel::kWarning};
// Load on a cold upstream is ramped up.
inline constexpr LogEvent kUpstreamCold{3014, "upstream_cold", LogLevel::kInfo};
}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTING_EVENTS_H_
