// Selection of the voters of a term.

#ifndef POLLENRUDDER_OWNERSHIP_VOTER_SELECTION_H_
#define POLLENRUDDER_OWNERSHIP_VOTER_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "ownership/listed_instance.h"
#include "ownership/term_state.h"

namespace pollenrudder {

inline constexpr std::size_t kMaxSameZoneVoters = 3;
inline constexpr std::size_t kMaxOtherZoneVoters = 2;

// The input of SelectVoters().
struct VoterSelectionInput {
  // The leader of the term.
  std::string leader;
  std::string zone;
  std::string region;
  std::vector<ListedInstance> instances;
  // The voters of the replaced term; kept while they are live.
  std::vector<Voter> current;
  // Instances that did not answer lately; chosen only if no other instance is
  // left in the leader's zone, or in the other zones.
  std::vector<std::string> unresponsive;
};

// Returns at most 3 zone peers and 2 instances in different other zones, one
// of them in the leader's region if there is one. Voters of the replaced term
// stay while they are listed as live under the same identity and answer, so a
// new or removed instance changes at most its own place. Scores depend on the
// leader and not on the upstream: all terms of a leader share their voters, and
// one message asks a voter for all of them.
std::vector<Voter> SelectVoters(const VoterSelectionInput& candidates);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_VOTER_SELECTION_H_
