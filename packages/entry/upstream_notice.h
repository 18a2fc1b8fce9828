// What an upstream states about itself in its responses.

#ifndef POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_
#define POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_

namespace pollenrudder {

// Part of any response, besides what it says about its request.
struct UpstreamNotice {
  // The upstream is leaving and wants no new requests.
  bool leaving = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPSTREAM_NOTICE_H_
