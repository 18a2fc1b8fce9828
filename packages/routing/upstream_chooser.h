// Interface for selecting an upstream of a service that is not sharded by key.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "routing/upstream_candidate.h"

namespace pollenrudder {

// The result of sending a request to an upstream, as observed by the sender.
enum class SendResult {
  kAnswered,
  // Refused before the request ran: load shed, overload, no lease.
  kRefused,
  // No response, or a response with a status of 500 and above.
  kFailed,
  // The caller closed its connection; not counted for or against the upstream.
  kCanceled,
};

// Selects upstreams by what the sender itself observes. Load reported by
// upstreams is not used, since it can be late or wrong. Create one object per
// service and ingress thread:
//   chooser->SetUpstreams(list);                 // after each new table
//   const std::string* name = chooser->Choose(now, tried);
//   chooser->OnSent(*name, now);
//   chooser->OnFinished(*name, SendResult::kAnswered, duration, now);
// Related: PowerOfTwoChooser.
class UpstreamChooser {
 public:
  virtual ~UpstreamChooser() = default;

  // Replaces the list of upstreams. Statistics of upstreams that remain are
  // kept.
  virtual void SetUpstreams(std::vector<UpstreamCandidate> upstreams) = 0;

  // Returns the name of an upstream that is not leaving, or null if there is
  // none. Upstreams in `tried` are chosen only if no other is available. The
  // name is valid until the next SetUpstreams().
  virtual const std::string* Choose(BootTime now,
                                    std::span<const std::string> tried) = 0;

  virtual void OnSent(const std::string& upstream, BootTime now) = 0;
  // `duration` is the time since OnSent().
  virtual void OnFinished(const std::string& upstream,
                          SendResult result,
                          std::chrono::nanoseconds duration,
                          BootTime now) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_
