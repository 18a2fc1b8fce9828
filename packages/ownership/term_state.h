// The current term of an upstream, as replayed from the log.

#ifndef POLLENRUDDER_OWNERSHIP_TERM_STATE_H_
#define POLLENRUDDER_OWNERSHIP_TERM_STATE_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/log_offset.h"

namespace pollenrudder {

// An instance whose promise extends the lease of a term, and which may claim
// the upstream after that promise expires.
struct Voter {
  std::string instance;
  std::string zone;
  std::string peer_address;

  bool operator==(const Voter&) const = default;
};

// The kind of record that created a term; docs/design.md, section 3, has the
// rules of each kind.
enum class TermKind { kFirst, kClaim, kHandover, kRevise, kDeclaredLost };

// The newest valid term record of one upstream.
struct TermState {
  std::string upstream;
  std::string service;
  std::string zone;
  std::string region;
  std::string address;

  // The log offset of the record, and the id that it was appended with.
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
  // How long the leader waits after it has read this record until it becomes
  // active. Zero for kFirst and kHandover; kRevise keeps the replaced value.
  std::chrono::nanoseconds wait{0};
  // True after an `active` record of this term was read, and from the start for
  // a term without a wait. A revision keeps the value of the term it replaces.
  bool active = false;
  // Whether the last move record of a leader marks the upstream as lost. A new
  // term keeps the value.
  bool lost = false;
  // The leader whose lease `wait` covers, if its term was active when it was
  // replaced; empty otherwise.
  std::string replaced_leader;
  std::string replaced_leader_zone;

  bool operator==(const TermState&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_STATE_H_
