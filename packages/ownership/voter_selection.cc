// Orders candidates by current role and rendezvous score, and selects from
// them.

#include "ownership/voter_selection.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <tuple>

#include "ownership/rendezvous_score.h"

namespace pollenrudder {
namespace {

// An eligible instance with the properties that determine its order.
struct Candidate {
  const ListedInstance* instance = nullptr;
  bool unresponsive = false;
  bool current = false;
  std::uint64_t score = 0;
};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsPreferred(const Candidate& left, const Candidate& right) {
  return std::make_tuple(!left.current, ~left.score, left.instance->name) <
         std::make_tuple(!right.current, ~right.score, right.instance->name);
}

std::vector<Candidate> OrderedCandidates(const VoterSelectionInput& input) {
  std::vector<Candidate> ordered;
  for (const ListedInstance& instance : input.instances) {
    if (instance.kind != ListedInstance::Kind::kEntry || instance.leaving ||
        instance.name == input.leader) {
      continue;
    }
    const bool current = std::any_of(
        input.current.begin(), input.current.end(),
        [&](const Voter& voter) { return voter.instance == instance.name; });
    ordered.push_back({&instance, Contains(input.unresponsive, instance.name),
                       current, RendezvousScore(input.leader, instance.name)});
  }
  std::sort(ordered.begin(), ordered.end(), IsPreferred);
  return ordered;
}

// An availability zone with this many unresponsive instances is regarded as cut
// off or lost. Selecting its other instances would cost one revision for each.
constexpr std::size_t kUnresponsiveInCutZone = 2;

std::size_t CountUnresponsive(const std::vector<Candidate>& ordered,
                              const std::string& zone) {
  return static_cast<std::size_t>(std::count_if(
      ordered.begin(), ordered.end(), [&](const Candidate& candidate) {
        return candidate.unresponsive && candidate.instance->zone == zone;
      }));
}

using Selection = std::vector<const ListedInstance*>;

Selection SelectSameZone(const std::vector<Candidate>& ordered,
                         const std::string& zone) {
  Selection selected;
  for (const Candidate& candidate : ordered) {
    if (selected.size() == kMaxSameZoneVoters)
      break;
    if (candidate.instance->zone == zone)
      selected.push_back(candidate.instance);
  }
  return selected;
}

// Adds the first candidate whose zone is neither `zone` nor that of a selected
// instance, and whose region is `region` unless that is empty. Returns whether
// there was one.
bool AddOtherZone(const std::vector<Candidate>& ordered,
                  const std::string& zone,
                  const std::string& region,
                  Selection* other_zone) {
  for (const Candidate& candidate : ordered) {
    const ListedInstance& instance = *candidate.instance;
    if (instance.zone == zone ||
        (!region.empty() && instance.region != region)) {
      continue;
    }
    const bool zone_taken = std::any_of(other_zone->begin(), other_zone->end(),
                                        [&](const ListedInstance* other) {
                                          return other->zone == instance.zone;
                                        });
    if (zone_taken)
      continue;
    other_zone->push_back(&instance);
    return true;
  }
  return false;
}

Selection SelectOtherZones(const std::vector<Candidate>& ordered,
                           const std::string& zone,
                           const std::string& region) {
  Selection selected;
  AddOtherZone(ordered, zone, region, &selected);
  while (selected.size() < kMaxOtherZoneVoters &&
         AddOtherZone(ordered, zone, "", &selected)) {
  }
  return selected;
}

}  // namespace

std::vector<Voter> SelectVoters(const VoterSelectionInput& input) {
  const std::vector<Candidate> all = OrderedCandidates(input);
  std::vector<Candidate> responsive;
  std::copy_if(all.begin(), all.end(), std::back_inserter(responsive),
               [&](const Candidate& candidate) {
                 const std::string& zone = candidate.instance->zone;
                 return !candidate.unresponsive &&
                        (zone == input.zone ||
                         CountUnresponsive(all, zone) < kUnresponsiveInCutZone);
               });

  // Without a same-zone (or other-zone) voter, no instance there could claim
  // the upstream, so an unresponsive voter is better than none.
  Selection selected = SelectSameZone(responsive, input.zone);
  if (selected.empty())
    selected = SelectSameZone(all, input.zone);
  Selection other_zone = SelectOtherZones(responsive, input.zone, input.region);
  if (other_zone.empty())
    other_zone = SelectOtherZones(all, input.zone, input.region);
  selected.insert(selected.end(), other_zone.begin(), other_zone.end());

  std::vector<Voter> voters;
  for (const ListedInstance* instance : selected)
    voters.push_back({instance->name, instance->zone, instance->peer_address});
  std::sort(voters.begin(), voters.end(),
            [](const Voter& left, const Voter& right) {
              return left.instance < right.instance;
            });
  return voters;
}

}  // namespace pollenrudder
