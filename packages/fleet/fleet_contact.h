// How recent the knowledge of the upstreams is.

#ifndef POLLENRUDDER_FLEET_FLEET_CONTACT_H_
#define POLLENRUDDER_FLEET_FLEET_CONTACT_H_

#include <chrono>
#include <optional>

#include "base/boot_clock.h"

namespace pollenrudder {

// Tracks as of when this instance knows the instance list and the evacuated
// availability zones, and since when it has followed both without a gap. An
// instance that is cut off goes on with what it knows, but an upstream that was
// warm then may be cold now.
//
//   contact.OnListRead(now);                  // each read, own or relayed
//   contact.OnEvacuationsRead(now - age);
//   if (!contact.HasLasted(policy.cold_time, now)) ...
class FleetContact {
 public:
  // Older knowledge of the evacuated zones counts as a gap. They are read and
  // relayed several times in this time.
  static constexpr std::chrono::milliseconds kMaxEvacuationsAge{1500};

  // The instance list is read and relayed every `list_interval`.
  explicit FleetContact(std::chrono::nanoseconds list_interval);

  // The instance list, or the set of evacuated zones, is known as of `as_of`.
  void OnListRead(BootTime as_of) { list_.Advance(as_of); }
  void OnEvacuationsRead(BootTime as_of) { evacuations_.Advance(as_of); }

  // Return the age of what is known; nothing before the first read.
  std::optional<std::chrono::nanoseconds> ListAge(BootTime now) const {
    return list_.Age(now);
  }
  std::optional<std::chrono::nanoseconds> EvacuationsAge(BootTime now) const {
    return evacuations_.Age(now);
  }

  // The grant leader has told the number of instances, or this instance is the
  // leader.
  void OnInstancesCounted() { instances_counted_ = true; }
  bool instances_counted() const { return instances_counted_; }

  // Returns whether both have been followed without a gap for `period`.
  bool HasLasted(std::chrono::nanoseconds period, BootTime now) const {
    return list_.HasLasted(period, now) && evacuations_.HasLasted(period, now);
  }

 private:
  // The list or the zones.
  struct Source {
    void Advance(BootTime time);
    std::optional<std::chrono::nanoseconds> Age(BootTime now) const;
    bool HasLasted(std::chrono::nanoseconds period, BootTime now) const;

    std::chrono::nanoseconds max_age;
    std::optional<BootTime> as_of;
    // The end of the last gap.
    BootTime since{};
  };

  Source list_;
  Source evacuations_;
  bool instances_counted_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_FLEET_CONTACT_H_
