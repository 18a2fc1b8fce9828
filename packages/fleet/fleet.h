// The upstreams of the instance list.

#ifndef POLLENRUDDER_FLEET_FLEET_H_
#define POLLENRUDDER_FLEET_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "fleet/fleet_change.h"
#include "fleet/listed_upstream.h"

namespace pollenrudder {

// Keeps the entries of the instance list and delays some removals. An
// incarnation that is leaving stays so.
//
// The list removes an upstream whose entry has expired, even if it expired
// while the list was unavailable. Upstreams whose entries expired during such
// an outage are listed again soon after it, so a removal that is read then is
// applied only after kRemovalDelay.
//
// The list may be restored from an earlier copy of itself. Upstreams that
// started since are listed again soon after it. Upstreams that have left since
// are in the copy, so that an entry that may be outdated does not bring back an
// incarnation that was removed before.
//
//   fleet.Apply(change, now);        // each change of the list
//   fleet.Replace(entries, now);     // each read of the whole list
//   fleet.ApplyDueRemovals(now);     // at NextRemoval()
class Fleet {
 public:
  // Delay of removals that are read after an outage of the list. The platform
  // guarantees that live entries are listed again within about two seconds
  // after the outage.
  static constexpr std::chrono::milliseconds kRemovalDelay{2000};

  // Returns whether the change matters for routing.
  bool Apply(const FleetChange& change, BootTime now);

  // Replaces the whole list: upstreams that are not in `entries` are removed.
  // Returns whether a change matters for routing.
  bool Replace(const std::vector<ListedUpstream>& entries, BootTime now);

  // As Replace(), and returns the changes that matter for routing. Nothing if
  // removals are delayed, because the changes are then not known yet.
  std::optional<std::vector<FleetChange>> ReplaceAndCompare(
      const std::vector<ListedUpstream>& entries,
      BootTime now);

  // As Replace(), with the first list after it was restored from an earlier
  // copy. Returns the changes that matter for routing and the removals that are
  // delayed; other instances delay these themselves.
  std::vector<FleetChange> ReplaceRestored(
      const std::vector<ListedUpstream>& entries,
      BootTime now);

  // The list can be read again after an outage, or was restored from an earlier
  // copy.
  void OnListAvailable(BootTime now);

  // The operator evacuates these availability zones and takes back all others.
  // Marks the upstreams, including those that are listed later. Returns whether
  // the zones have changed.
  bool SetEvacuatedZones(const std::set<std::string, std::less<>>& zones);

  // Applies the delayed removals that are due; returns whether there were any.
  bool ApplyDueRemovals(BootTime now);
  // Returns when the next delayed removal is due, or nothing if there is none.
  std::optional<BootTime> NextRemoval() const;
  bool IsRemovalPending(std::string_view name) const {
    return pending_removals_.contains(name);
  }

  const std::map<std::string, ListedUpstream, std::less<>>& upstreams() const {
    return upstreams_;
  }
  // Returns the entry, or nullptr if the upstream is not listed.
  const ListedUpstream* Find(std::string_view name) const;

 private:
  // How long removed upstreams are remembered. The list may be restored from a
  // copy that is some seconds old.
  static constexpr std::chrono::minutes kRemovedRetention{10};

  struct RemovedUpstream {
    std::chrono::milliseconds started_at{0};
    BootTime removed_at{};
  };
  using Upstreams = std::map<std::string, ListedUpstream, std::less<>>;

  bool Remove(const std::string& name, BootTime now);
  void Erase(const std::string& name, BootTime now);
  // Returns whether `entry` is of an incarnation that was removed or replaced
  // by a later one.
  bool IsFormer(const ListedUpstream& entry) const;
  // Returns the changes since `before` that matter for routing.
  std::vector<FleetChange> ChangesSince(const Upstreams& before) const;

  Upstreams upstreams_;
  // The last removed incarnation of each name. Invariant: no name is in
  // upstreams_.
  std::map<std::string, RemovedUpstream, std::less<>> removed_;
  // Invariant: each name is in upstreams_.
  std::map<std::string, BootTime, std::less<>> pending_removals_;
  std::set<std::string, std::less<>> evacuated_zones_;
  // Removals before this time are delayed until this time.
  BootTime delay_removals_until_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_H_
