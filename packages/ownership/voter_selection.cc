// Selection of voters by identity, answers and rendezvous score.

#include "ownership/voter_selection.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>

#include "ownership/rendezvous_score.h"

namespace pollenrudder {
namespace {

// One eligible instance with the properties that order the choice.
struct Candidate {
  const ListedInstance* instance = nullptr;
  bool unresponsive = false;
  bool current = false;
  std::uint64_t score = 0;
};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool ChosenBefore(const Candidate& left, const Candidate& right) {
  return std::make_tuple(!left.current, ~left.score, left.instance->name) <
         std::make_tuple(!right.current, ~right.score, right.instance->name);
}

std::vector<Candidate> OrderedCandidates(
    const VoterSelectionInput& candidates) {
  std::vector<Candidate> ordered;
  for (const ListedInstance& instance : candidates.instances) {
    if (instance.kind != ListedInstance::Kind::kEntry || instance.leaving ||
        instance.name == candidates.leader) {
      continue;
    }
    const bool current = std::any_of(
        candidates.current.begin(), candidates.current.end(),
        [&](const Voter& voter) { return voter.instance == instance.name; });
    ordered.push_back(
        {&instance, Contains(candidates.unresponsive, instance.name), current,
         RendezvousScore(candidates.leader, instance.name)});
  }
  std::sort(ordered.begin(), ordered.end(), ChosenBefore);
  return ordered;
}

// A zone of which two instances are silent is taken for cut off or lost; trying
// its other instances in turn would cost a revise each.
constexpr std::size_t kSilentInZone = 2;

std::size_t CountSilent(const std::vector<Candidate>& ordered,
                        const std::string& zone) {
  return static_cast<std::size_t>(std::count_if(
      ordered.begin(), ordered.end(), [&](const Candidate& candidate) {
        return candidate.unresponsive && candidate.instance->zone == zone;
      }));
}

using Chosen = std::vector<const ListedInstance*>;

Chosen ChooseZonePeers(const std::vector<Candidate>& ordered,
                       const std::string& zone) {
  Chosen chosen;
  for (const Candidate& candidate : ordered) {
    if (chosen.size() == kMaxSameZoneVoters)
      break;
    if (candidate.instance->zone == zone)
      chosen.push_back(candidate.instance);
  }
  return chosen;
}

// Adds the first candidate whose zone is neither `zone` nor that of a chosen
// one, and which is in `region` unless that is empty.
bool AddFar(const std::vector<Candidate>& ordered,
            const std::string& zone,
            const std::string& region,
            Chosen* far) {
  for (const Candidate& candidate : ordered) {
    const ListedInstance& instance = *candidate.instance;
    if (instance.zone == zone ||
        (!region.empty() && instance.region != region)) {
      continue;
    }
    const bool zone_taken =
        std::any_of(far->begin(), far->end(), [&](const ListedInstance* other) {
          return other->zone == instance.zone;
        });
    if (zone_taken)
      continue;
    far->push_back(&instance);
    return true;
  }
  return false;
}

Chosen ChooseFar(const std::vector<Candidate>& ordered,
                 const std::string& zone,
                 const std::string& region) {
  Chosen chosen;
  AddFar(ordered, zone, region, &chosen);
  while (chosen.size() < kMaxOtherZoneVoters &&
         AddFar(ordered, zone, "", &chosen)) {
  }
  return chosen;
}

}  // namespace

std::vector<Voter> SelectVoters(const VoterSelectionInput& candidates) {
  const std::vector<Candidate> all = OrderedCandidates(candidates);
  std::vector<Candidate> answering;
  std::copy_if(all.begin(), all.end(), std::back_inserter(answering),
               [&](const Candidate& candidate) {
                 const std::string& zone = candidate.instance->zone;
                 return !candidate.unresponsive &&
                        (zone == candidates.zone ||
                         CountSilent(all, zone) < kSilentInZone);
               });

  // Without a zone peer (or a far voter) nobody there could claim, so a silent
  // one is still better than none.
  Chosen chosen = ChooseZonePeers(answering, candidates.zone);
  if (chosen.empty())
    chosen = ChooseZonePeers(all, candidates.zone);
  Chosen far = ChooseFar(answering, candidates.zone, candidates.region);
  if (far.empty())
    far = ChooseFar(all, candidates.zone, candidates.region);
  chosen.insert(chosen.end(), far.begin(), far.end());

  std::vector<Voter> voters;
  for (const ListedInstance* instance : chosen)
    voters.push_back({instance->name, instance->zone, instance->peer_address});
  std::sort(voters.begin(), voters.end(),
            [](const Voter& left, const Voter& right) {
              return left.instance < right.instance;
            });
  return voters;
}

}  // namespace pollenrudder
