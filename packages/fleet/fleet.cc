// Fleet: entries by name, and the removals delayed after an outage.

#include "fleet/fleet.h"

#include <utility>

namespace pollenrudder {
namespace {

// The remaining time that an upstream writes to the list is up to this much out
// of date when it is read.
constexpr std::chrono::milliseconds kColdTolerance{1500};

// Returns whether the difference matters for routing.
bool Differs(const ListedUpstream& left, const ListedUpstream& right) {
  return !left.SameIncarnation(right) || left.leaving != right.leaving ||
         left.slots != right.slots || left.service != right.service ||
         left.zone != right.zone ||
         right.cold_until > left.cold_until + kColdTolerance ||
         left.may_be_outdated != right.may_be_outdated;
}

}  // namespace

bool Fleet::Apply(const FleetChange& change, BootTime now) {
  if (!change.entry)
    return Remove(change.name, now);
  if (change.entry->may_be_outdated) {
    if (IsFormer(*change.entry))
      return false;
  } else {
    pending_removals_.erase(change.name);
  }
  removed_.erase(change.name);
  ListedUpstream next = *change.entry;
  next.evacuated = evacuated_zones_.contains(next.zone);
  next.cold_until =
      next.cold_remaining.count() > 0 ? now + next.cold_remaining : BootTime{};
  const auto [it, added] = upstreams_.try_emplace(change.name, next);
  if (added)
    return true;
  ListedUpstream& current = it->second;
  if (next.SameIncarnation(current)) {
    next.leaving |= current.leaving;
    next.may_be_outdated &= current.may_be_outdated;
  }
  const bool changed = Differs(current, next);
  current = std::move(next);
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
  return ChangesSince(before);
}

std::vector<FleetChange> Fleet::ReplaceRestored(
    const std::vector<ListedUpstream>& entries,
    BootTime now) {
  OnListAvailable(now);
  const auto before = upstreams_;
  Replace(entries, now);
  std::vector<FleetChange> changes = ChangesSince(before);
  for (const auto& [name, time] : pending_removals_)
    changes.push_back({name, std::nullopt});
  return changes;
}

std::vector<FleetChange> Fleet::ChangesSince(const Upstreams& before) const {
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

bool Fleet::SetEvacuatedZones(const std::set<std::string, std::less<>>& zones) {
  if (zones == evacuated_zones_)
    return false;
  evacuated_zones_ = zones;
  for (auto& [name, upstream] : upstreams_)
    upstream.evacuated = zones.contains(upstream.zone);
  return true;
}

bool Fleet::ApplyDueRemovals(BootTime now) {
  bool changed = false;
  for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    const std::string name = it->first;
    it = pending_removals_.erase(it);
    Erase(name, now);
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
  Erase(name, now);
  return true;
}

void Fleet::Erase(const std::string& name, BootTime now) {
  const auto it = upstreams_.find(name);
  std::erase_if(removed_, [now](const auto& removed) {
    return removed.second.removed_at + kRemovedRetention < now;
  });
  removed_[name] = {it->second.started_at, now};
  upstreams_.erase(it);
}

bool Fleet::IsFormer(const ListedUpstream& entry) const {
  const ListedUpstream* current = Find(entry.name);
  if (current != nullptr)
    return entry.started_at < current->started_at;
  const auto removed = removed_.find(entry.name);
  return removed != removed_.end() &&
         entry.started_at <= removed->second.started_at;
}

}  // namespace pollenrudder
