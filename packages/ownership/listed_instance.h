// ListedInstance: one entry of the platform's instance list.

#ifndef POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_
#define POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_

#include <string>

namespace pollenrudder {

// An entry instance or an upstream. The instance list is delayed, so an entry
// does not prove that the instance is alive.
struct ListedInstance {
  enum class Kind { kEntry, kUpstream };

  Kind kind = Kind::kEntry;
  // For an entry instance "<name>.<incarnation>"; each start has a new
  // incarnation.
  std::string name;
  // Empty for an entry instance.
  std::string service;
  std::string zone;
  std::string region;
  // "ip:port" where an upstream accepts requests, or where an entry instance
  // accepts forwarded requests.
  std::string address;
  // "ip:port" for control messages. Empty for an upstream.
  std::string peer_address;
  bool leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_
