// An upstream among which an ingress chooses.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_

#include <string>

namespace pollenrudder {

struct UpstreamCandidate {
  std::string name;
  std::string zone;
  std::string region;
  // Gets no new work.
  bool leaving = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_
