// Evaluates planned stops and the instance list.

#include "ownership/stop_schedule.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenrudder {
namespace {

bool IsInEffect(const PlannedStop& stop, WallTime now) {
  return stop.start <= now && now < stop.end;
}

bool IsStopPlanned(const Document& document,
                   const TermState& upstream,
                   WallTime now) {
  const Section* section = document.FindSectionOfService(upstream.service);
  if (!section)
    return false;
  return std::any_of(
      section->planned_stops.begin(), section->planned_stops.end(),
      [&](const PlannedStop& stop) {
        const bool applies = (stop.target == PlannedStop::Target::kUpstream &&
                              stop.name == upstream.upstream) ||
                             (stop.target == PlannedStop::Target::kZone &&
                              stop.name == upstream.zone);
        return applies && IsInEffect(stop, now);
      });
}

}  // namespace

std::vector<std::string> StopSchedule::Update(
    const OwnershipTable& table,
    const InstanceDirectory& directory,
    const Now& now) {
  std::set<std::string, std::less<>> stopping;
  for (const auto& [name, term] : table.state().terms) {
    const ListedInstance* listed = directory.FindUpstream(name);
    const bool leaving =
        listed ? listed->leaving
               : directory.MissingFor(name, now.boot) >= kMissingTimeout;
    if (leaving || IsStopPlanned(table.document(), term, now.wall))
      stopping.insert(name);
  }
  std::vector<std::string> changed;
  std::set_symmetric_difference(stopping.begin(), stopping.end(),
                                stopping_.begin(), stopping_.end(),
                                std::back_inserter(changed));
  stopping_ = std::move(stopping);
  return changed;
}

bool StopSchedule::IsUpstreamStopping(std::string_view upstream) const {
  return stopping_.contains(upstream);
}

bool StopSchedule::IsInstanceStopping(const Document& document,
                                      const InstanceDirectory& directory,
                                      std::string_view instance,
                                      WallTime now) {
  const ListedInstance* listed = directory.FindEntry(instance);
  if (listed && listed->leaving)
    return true;
  const std::string_view name = instance.substr(0, instance.rfind('.'));
  for (const auto& [team, section] : document.sections()) {
    for (const PlannedStop& stop : section.planned_stops) {
      const bool applies = stop.target == PlannedStop::Target::kInstance &&
                           (stop.name == instance || stop.name == name);
      if (applies && IsInEffect(stop, now))
        return true;
    }
  }
  return false;
}

}  // namespace pollenrudder
