// Selects the voters of a term from the instance list.

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
  // The leader of the term, and its availability zone and region.
  std::string leader;
  std::string zone;
  std::string region;
  std::vector<ListedInstance> instances;
  // The voters of the replaced term.
  std::vector<Voter> current;
  // Instances without a recent answer. They are selected only if no other
  // instance remains in the zone of the leader, or in the other zones.
  std::vector<std::string> unresponsive;
};

// Returns at most 3 instances in the zone of the leader and 2 in different
// other zones, one of them in the region of the leader if possible. A voter of
// the replaced term is kept while it is listed under the same identity, is not
// leaving and answers, so that a new or removed instance changes at most one
// voter. Scores depend on the leader and not on the upstream: all terms of a
// leader share their voters, and one message to a voter requests its promises
// for all of them.
std::vector<Voter> SelectVoters(const VoterSelectionInput& input);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_VOTER_SELECTION_H_
