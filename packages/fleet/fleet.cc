// Fleet: entries by name, and the removals delayed after an outage.

#include "fleet/fleet.h"

#include <utility>

namespace pollenrudder {
namespace {

// Returns whether the difference matters for routing.
bool Differs(const ListedUpstream& left, const ListedUpstream& right) {
  return !left.SameIncarnation(right) || left.leaving != right.leaving ||
         left.slots != right.slots || left.service != right.service ||
         left.zone != right.zone;
}

}  // namespace

bool Fleet::Apply(const FleetChange& change, BootTime now) {
  if (!change.entry)
    return Remove(change.name, now);
  pending_removals_.erase(change.name);
  const auto [it, added] = upstreams_.try_emplace(change.name, *change.entry);
  if (added)
    return true;
  ListedUpstream& current = it->second;
  const bool changed = Differs(current, *change.entry);
  current = *change.entry;
  return changed;
}

bool Fleet::Replace(const std::vector<ListedUpstream>& entries, BootTime now) {
  bool changed = false;
  std::set<std::string_view> present;
  for (const ListedUpstream& entry : entries) {
    present.insert(entry.name);
    changed |= Apply({entry.name, entry}, now);
  }
  std::vector<std::string> missing;
  for (const auto& [name, entry] : upstreams_) {
    if (!present.contains(name))
      missing.push_back(name);
  }
  for (const std::string& name : missing)
    changed |= Remove(name, now);
  return changed;
}

std::optional<std::vector<FleetChange>> Fleet::ReplaceAndCompare(
    const std::vector<ListedUpstream>& entries,
    BootTime now) {
  const auto before = upstreams_;
  Replace(entries, now);
  if (now < delay_removals_until_)
    return std::nullopt;
  std::vector<FleetChange> changes;
  for (const auto& [name, entry] : before) {
    if (!upstreams_.contains(name))
      changes.push_back({name, std::nullopt});
  }
  for (const auto& [name, entry] : upstreams_) {
    const auto old = before.find(name);
    if (old == before.end() || Differs(old->second, entry))
      changes.push_back({name, entry});
  }
  return changes;
}

void Fleet::OnListAvailable(BootTime now) {
  delay_removals_until_ = now + kRemovalDelay;
}

bool Fleet::ApplyDueRemovals(BootTime now) {
  bool changed = false;
  for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    upstreams_.erase(it->first);
    it = pending_removals_.erase(it);
    changed = true;
  }
  return changed;
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
  const auto it = upstreams_.find(name);
  return it == upstreams_.end() ? nullptr : &it->second;
}

bool Fleet::Remove(const std::string& name, BootTime now) {
  const auto it = upstreams_.find(name);
  if (it == upstreams_.end())
    return false;
  // A leaving upstream does not come back, so its entry is removed at once.
  if (now < delay_removals_until_ && !it->second.leaving) {
    pending_removals_.try_emplace(name, delay_removals_until_);
    return false;
  }
  pending_removals_.erase(name);
  upstreams_.erase(it);
  return true;
}

}  // namespace pollenrudder
