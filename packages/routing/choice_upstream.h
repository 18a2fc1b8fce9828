// An upstream among which an ingress chooses.

#ifndef POLLENRUDDER_ROUTING_CHOICE_UPSTREAM_H_
#define POLLENRUDDER_ROUTING_CHOICE_UPSTREAM_H_

#include <string>

namespace pollenrudder {

struct ChoiceUpstream {
  std::string name;
  std::string zone;
  std::string region;
  // Gets no new work.
  bool leaving = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_CHOICE_UPSTREAM_H_
