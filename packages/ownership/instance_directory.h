// InstanceDirectory: the newest instance list, with the times at which each
// name appeared and disappeared.

#ifndef POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_
#define POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// The instance list is delayed, so it does not prove that an instance is alive
// or gone. Use it only for choices that do not affect safety.
class InstanceDirectory {
 public:
  void OnInstancesListed(std::vector<ListedInstance> instances, BootTime now);

  const std::vector<ListedInstance>& instances() const { return instances_; }
  // Whether a list was ever received.
  bool has_list() const { return first_list_at_.has_value(); }
  // Returns the time since the first list was received.
  std::chrono::nanoseconds ListAge(BootTime now) const {
    return first_list_at_ ? now - *first_list_at_ : std::chrono::nanoseconds(0);
  }

  // Return the entry instance or the upstream with this name, or null.
  const ListedInstance* FindEntry(std::string_view name) const;
  const ListedInstance* FindUpstream(std::string_view name) const;

  // Returns the entry instances of the availability zone that are not leaving.
  std::vector<ListedInstance> AvailableEntries(std::string_view zone) const;

  // Return how long the instance or upstream has been listed without
  // interruption, or has been missing from the instance list; otherwise zero.
  std::chrono::nanoseconds ListedFor(std::string_view name, BootTime now) const;
  std::chrono::nanoseconds MissingFor(std::string_view name,
                                      BootTime now) const;

 private:
  std::vector<ListedInstance> instances_;
  // When the first list was received.
  std::optional<BootTime> first_list_at_;
  // When each listed name appeared, and when each name that was missing within
  // the last hour disappeared.
  std::map<std::string, BootTime, std::less<>> present_since_;
  std::map<std::string, BootTime, std::less<>> missing_since_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_INSTANCE_DIRECTORY_H_
