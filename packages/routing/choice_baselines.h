// Simple upstream choosers for comparison with PowerOfTwoChooser. For
// policy_bench only.

#ifndef POLLENRUDDER_ROUTING_CHOICE_BASELINES_H_
#define POLLENRUDDER_ROUTING_CHOICE_BASELINES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "routing/upstream_chooser.h"

namespace pollenrudder {

// Chooses an upstream by one of the rules below.
class BaselineChooser : public UpstreamChooser {
 public:
  enum class Rule {
    kRoundRobin,
    kRandom,
    // The upstream with the fewest requests of this sender in flight.
    kLeastInFlight,
    // The upstream with the lower reported load of two random ones.
    kReportedLoad,
  };
  // Returns the load that an upstream reports.
  using Reported = std::function<double(const std::string&)>;

  BaselineChooser(Rule rule, std::uint64_t seed, Reported reported = nullptr);

  void SetUpstreams(std::vector<UpstreamCandidate> upstreams) override;
  const std::string* Choose(BootTime now,
                            std::span<const std::string> tried) override;
  void OnSent(const std::string& upstream, BootTime now) override;
  void OnFinished(const std::string& upstream,
                  SendResult result,
                  std::chrono::nanoseconds duration,
                  BootTime now) override;

 private:
  const Rule rule_;
  const Reported reported_;
  std::mt19937_64 random_;
  std::vector<UpstreamCandidate> upstreams_;
  std::map<std::string, int> in_flight_;
  std::size_t next_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_CHOICE_BASELINES_H_
