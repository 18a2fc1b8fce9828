// Tracks when names appear in the instance list and disappear from it.

#include "ownership/instance_directory.h"

#include <utility>

namespace pollenrudder {
namespace {

using Kind = ListedInstance::Kind;

// Names of ended instances are removed after this time, because each process
// start adds a new name.
constexpr std::chrono::hours kMissingRetention{1};

const ListedInstance* Find(const std::vector<ListedInstance>& instances,
                           Kind kind,
                           std::string_view name) {
  for (const ListedInstance& instance : instances) {
    if (instance.kind == kind && instance.name == name)
      return &instance;
  }
  return nullptr;
}

}  // namespace

void InstanceDirectory::OnInstancesListed(std::vector<ListedInstance> instances,
                                          BootTime now) {
  instances_ = std::move(instances);
  if (!first_list_at_)
    first_list_at_ = now;
  std::map<std::string, BootTime, std::less<>> present;
  for (const ListedInstance& instance : instances_) {
    const auto previous = present_since_.find(instance.name);
    present[instance.name] =
        previous == present_since_.end() ? now : previous->second;
    missing_since_.erase(instance.name);
  }
  for (const auto& [name, since] : present_since_) {
    if (!present.contains(name))
      missing_since_[name] = now;
  }
  std::erase_if(missing_since_, [now](const auto& entry) {
    return now - entry.second > kMissingRetention;
  });
  present_since_ = std::move(present);
}

const ListedInstance* InstanceDirectory::FindEntry(
    std::string_view name) const {
  return Find(instances_, Kind::kEntry, name);
}

const ListedInstance* InstanceDirectory::FindUpstream(
    std::string_view name) const {
  return Find(instances_, Kind::kUpstream, name);
}

std::vector<ListedInstance> InstanceDirectory::AvailableEntries(
    std::string_view zone) const {
  std::vector<ListedInstance> entries;
  for (const ListedInstance& instance : instances_) {
    if (instance.kind == Kind::kEntry && instance.zone == zone &&
        !instance.leaving) {
      entries.push_back(instance);
    }
  }
  return entries;
}

std::chrono::nanoseconds InstanceDirectory::ListedFor(std::string_view name,
                                                      BootTime now) const {
  const auto since = present_since_.find(name);
  return since == present_since_.end() ? std::chrono::nanoseconds(0)
                                       : now - since->second;
}

std::chrono::nanoseconds InstanceDirectory::MissingFor(std::string_view name,
                                                       BootTime now) const {
  if (!first_list_at_ || present_since_.contains(name))
    return std::chrono::nanoseconds(0);
  const auto since = missing_since_.find(name);
  return now -
         (since == missing_since_.end() ? *first_list_at_ : since->second);
}

}  // namespace pollenrudder
