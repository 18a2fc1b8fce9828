// Log events of the peers package.

#ifndef POLLENRUDDER_PEERS_PEERS_EVENTS_H_
#define POLLENRUDDER_PEERS_PEERS_EVENTS_H_

#include "base/log_event.h"

namespace pollenrudder {

// A peer sent a message that is invalid or too large; it received a JSON-RPC
// error or its connection is closed.
inline constexpr LogEvent kPeerMessageRefused{5001, "peer_message_refused",
                                              LogLevel::kWarning};
// A peer stopped responding to control messages.
inline constexpr LogEvent kPeerUnreachable{5002, "peer_unreachable",
                                           LogLevel::kWarning};
// A peer responds to control messages again.
inline constexpr LogEvent kPeerReachable{5003, "peer_reachable",
                                         LogLevel::kInfo};
// A control connection was refused because too many are open.
inline constexpr LogEvent kPeerConnectionRefused{
    5004, "peer_connection_refused", LogLevel::kWarning};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_PEERS_EVENTS_H_
