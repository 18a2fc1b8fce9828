// Log events of the upstreams package.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAMS_EVENTS_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAMS_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// An upstream accepted a grant; requests are sent to it from now on.
inline constexpr LogEvent kGrantAccepted{6001, "grant_accepted",
                                         LogLevel::kInfo};
// An upstream did not accept a grant; the grant is sent again.
inline constexpr LogEvent kGrantFailed{6002, "grant_failed",
                                       LogLevel::kWarning};
// A connection failed or requests got no response; the upstream is probed.
inline constexpr LogEvent kUpstreamSuspect{6003, "upstream_suspect",
                                           LogLevel::kWarning};
// Consecutive probes failed; the upstream is treated as lost.
inline constexpr LogEvent kUpstreamLost{6004, "upstream_lost",
                                        LogLevel::kWarning};
// A suspect or lost upstream responded again.
inline constexpr LogEvent kUpstreamReachable{6005, "upstream_reachable",
                                             LogLevel::kInfo};
// A drain started; its shards get no new requests.
inline constexpr LogEvent kUpstreamDrainStarted{6006, "upstream_drain_started",
                                                LogLevel::kInfo};
// A drain finished: no request of its shards is in flight.
inline constexpr LogEvent kUpstreamDrainFinished{
    6007, "upstream_drain_finished", LogLevel::kInfo};
// A response was truncated or malformed, or carried the id of another request.
inline constexpr LogEvent kResponseInvalid{6008, "answer_damaged",
                                           LogLevel::kWarning};
// A second upstream was lost while it ran a suspect request alone; the request
// is confirmed as the cause.
inline constexpr LogEvent kFingerprintConfirmed{6009, "fingerprint_confirmed",
                                                LogLevel::kWarning};
// This instance no longer leads an upstream; the connections are closed.
inline constexpr LogEvent kUpstreamReleased{6010, "upstream_released",
                                            LogLevel::kInfo};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAMS_EVENTS_H_
