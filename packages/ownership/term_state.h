// The current term of an upstream, as replayed from the log.

#ifndef POLLENRUDDER_OWNERSHIP_TERM_STATE_H_
#define POLLENRUDDER_OWNERSHIP_TERM_STATE_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/log_offset.h"

namespace pollenrudder {

// Who may extend or end a term. Part of TermState.
struct Voter {
  std::string instance;
  std::string zone;
  std::string peer_address;

  bool operator==(const Voter&) const = default;
};

// How a term came about; the rules of each kind are in docs/design.md,
// section 3.
enum class TermKind { kFirst, kClaim, kHandover, kRevise, kDeclaredLost };

// The newest valid term record of one upstream.
struct TermState {
  std::string upstream;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;

  // The offset of the record, and the id it was appended with.
  LogOffset term = kNoOffset;
  std::string record_id;
  TermKind kind = TermKind::kFirst;
  // Invariant: leader_fence <= term; it changes only with the leader.
  LogOffset leader_fence = kNoOffset;
  std::string leader;
  std::string leader_zone;
  std::string leader_forward_address;
  std::string leader_peer_address;
  std::vector<Voter> voters;
  std::chrono::nanoseconds isolation_hold{0};
  // How long the leader waits after it has read this record before it becomes
  // active. Zero for kFirst, kHandover and kRevise.
  std::chrono::nanoseconds wait{0};
  // True once an `active` record of this term was read, and from the start for
  // a term without a wait. A revise keeps the value of the term it replaces.
  bool active = false;
  // Whether a leader last recorded the upstream as lost; kept over terms.
  bool lost = false;
  // The leader whose lease `wait` covers, if its term was active when it was
  // replaced; otherwise empty.
  std::string replaced_leader;
  std::string replaced_leader_zone;

  bool operator==(const TermState&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_STATE_H_
