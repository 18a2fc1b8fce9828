// Fleet: entries by name, with removals that are held back after an outage.

#include "fleet/fleet.h"

#include <utility>

namespace pollenrudder {

bool Fleet::Apply(const FleetChange& change, BootTime now) {
  if (!change.entry)
    return Remove(change.name, now);
  pending_removals_.erase(change.name);
  const auto [at, added] = upstreams_.try_emplace(change.name, *change.entry);
  if (added)
    return true;
  ListedUpstream& known = at->second;
  const bool news = !known.SameIncarnation(*change.entry) ||
                    known.leaving != change.entry->leaving ||
                    known.slots != change.entry->slots ||
                    known.service != change.entry->service ||
                    known.zone != change.entry->zone;
  known = *change.entry;
  return news;
}

bool Fleet::Replace(const std::vector<ListedUpstream>& entries, BootTime now) {
  bool news = false;
  std::set<std::string_view> present;
  for (const ListedUpstream& entry : entries) {
    present.insert(entry.name);
    news |= Apply({entry.name, entry}, now);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : upstreams_) {
    if (!present.contains(name))
      missing.push_back(name);
  }
  for (const std::string& name : missing)
    news |= Remove(name, now);
  return news;
}

void Fleet::OnListAvailable(BootTime now) {
  hold_until_ = now + kRemovalDelay;
}

bool Fleet::ApplyDueRemovals(BootTime now) {
  bool news = false;
  for (auto at = pending_removals_.begin(); at != pending_removals_.end();) {
    if (at->second > now) {
      ++at;
      continue;
    }
    upstreams_.erase(at->first);
    at = pending_removals_.erase(at);
    news = true;
  }
  return news;
}

std::optional<BootTime> Fleet::NextRemoval() const {
  std::optional<BootTime> next;
  for (const auto& [name, time] : pending_removals_) {
    if (!next || time < *next)
      next = time;
  }
  return next;
}

const ListedUpstream* Fleet::Find(std::string_view name) const {
  const auto at = upstreams_.find(name);
  return at == upstreams_.end() ? nullptr : &at->second;
}

bool Fleet::Remove(const std::string& name, BootTime now) {
  const auto at = upstreams_.find(name);
  if (at == upstreams_.end())
    return false;
  // One that announced its end is not coming back.
  if (now < hold_until_ && !at->second.leaving) {
    pending_removals_.try_emplace(name, hold_until_);
    return false;
  }
  pending_removals_.erase(name);
  upstreams_.erase(at);
  return true;
}

}  // namespace pollenrudder
