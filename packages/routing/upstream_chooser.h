// The choice of an upstream for a service that is not divided by key.

#ifndef POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_
#define POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_

#include <chrono>
#include <span>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "routing/upstream_candidate.h"

namespace pollenrudder {

// How a request that was sent ended, as its sender sees it.
enum class SendResult {
  kAnswered,
  // Refused before running: shed, overloaded, no lease.
  kRefused,
  // No answer, or an answer with a status of 500 and above.
  kFailed,
  // The caller closed its connection: says nothing about the upstream.
  kCancelled,
};

// Chooses by what the sender observes itself; reported load is not used, since
// it can lag or mislead. One object per service and ingress thread.
//   chooser->SetUpstreams(list);                 // after each new table
//   const std::string* name = chooser->Choose(now, tried);
//   chooser->OnSent(*name, now);
//   chooser->OnFinished(*name, SendResult::kAnswered, duration, now);
// Related: PowerOfTwoChooser.
class UpstreamChooser {
 public:
  virtual ~UpstreamChooser() = default;

  // Replaces the list. What is known of upstreams that stay is kept.
  virtual void SetUpstreams(std::vector<UpstreamCandidate> upstreams) = 0;

  // Returns the name of an upstream that is not leaving, or null if there is
  // none. Upstreams in `tried` are chosen only if there is no other. The name
  // is valid until the next SetUpstreams().
  virtual const std::string* Choose(BootTime now,
                                    std::span<const std::string> tried) = 0;

  virtual void OnSent(const std::string& upstream, BootTime now) = 0;
  // `duration` is the time since OnSent().
  virtual void OnFinished(const std::string& upstream,
                          SendResult end,
                          std::chrono::nanoseconds duration,
                          BootTime now) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_UPSTREAM_CHOOSER_H_
