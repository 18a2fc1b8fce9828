// An upstream that an UpstreamChooser can select.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_

#include <string>

namespace pollenrudder {

struct UpstreamCandidate {
  std::string name;
  std::string zone;
  std::string region;
  // The upstream gets no new requests.
  bool leaving = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_CANDIDATE_H_
