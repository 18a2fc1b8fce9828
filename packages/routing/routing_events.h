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
// A request will be sent again after a delay.
inline constexpr LogEvent kRequestRetried{3003, "request_retried",
                                          LogLevel::kInfo};
// A retry was not sent because the retry budget is spent.
inline constexpr LogEvent kRetryBudgetSpent{3004, "retry_budget_spent",
                                            LogLevel::kWarning};
// A request id was issued.
inline constexpr LogEvent kRequestIdIssued{3005, "request_id_issued",
                                           LogLevel::kInfo};
// A request id was refused: invalid, of another epoch, or past its lifetime.
inline constexpr LogEvent kRequestIdRefused{3006, "request_id_refused",
                                            LogLevel::kWarning};
// A repeat of a non-repeatable request was answered with the stored response.
inline constexpr LogEvent kRepeatAnswered{3007, "repeat_answered",
                                          LogLevel::kInfo};
// The limit of request records is reached: new ids are refused as not run.
inline constexpr LogEvent kRequestRecordsFull{3008, "request_records_full",
                                              LogLevel::kWarning};
// A response was too large to be stored for repeats.
inline constexpr LogEvent kResponseNotStored{3009, "answer_not_kept",
                                             LogLevel::kWarning};
// A fingerprint became suspect after a crash.
inline constexpr LogEvent kFingerprintSuspected{3010, "fingerprint_suspected",
                                                LogLevel::kWarning};
// A fingerprint was quarantined after a second crash, in isolation.
inline constexpr LogEvent kFingerprintQuarantined{
    3011, "fingerprint_quarantined", LogLevel::kError};
// A response cleared a suspect fingerprint.
inline constexpr LogEvent kFingerprintCleared{3012, "fingerprint_cleared",
                                              LogLevel::kInfo};
// A request was answered after the quarantine of its fingerprint had ended.
inline constexpr LogEvent kFalseQuarantine{3013, "false_quarantine",
                                           LogLevel::kWarning};
// The load on a cold upstream is ramped up.
inline constexpr LogEvent kUpstreamCold{3014, "upstream_cold", LogLevel::kInfo};
}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ROUTING_EVENTS_H_
