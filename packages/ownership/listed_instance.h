// One entry of the platform's instance list.

#ifndef POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_
#define POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_

#include <string>

namespace pollenrudder {

// An entry instance or an upstream, as the instance list shows it. The list
// lags, so an entry is a hint and never proof that the instance is alive.
struct ListedInstance {
  enum class Kind { kEntry, kUpstream };

  Kind kind = Kind::kEntry;
  // For an entry instance: "<name>.<incarnation>", new at every start.
  std::string name;
  // Empty for an entry instance.
  std::string service;
  std::string zone;
  std::string region;
  // "ip:port": where an upstream takes requests, or where an entry instance
  // takes forwarded requests.
  std::string address;
  // "ip:port" of control messages; empty for an upstream.
  std::string peer_address;
  bool leaving = false;

  bool operator==(const ListedInstance&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LISTED_INSTANCE_H_
