// Load-aware upstream selection by the power of two choices.

#ifndef POLLENRUDDER_ROUTING_POWER_OF_TWO_CHOOSER_H_
#define POLLENRUDDER_ROUTING_POWER_OF_TWO_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/boot_clock.h"
#include "routing/upstream_chooser.h"

namespace pollenrudder {

// Samples two upstreams at random and prefers the one with the lower cost:
//   (requests in flight + 1) x recent latency x penalty for recent failures
// Samples are taken from the nearest tier (own availability zone, own region,
// elsewhere) that has an available upstream. The next tier is used as well
// while every upstream of the nearer tiers is ejected or has
// `spillover_in_flight` requests of this sender in flight.
//
// An upstream is ejected after several consecutive failures, for a time that
// doubles up to a limit. A cold upstream (one that was just listed or that
// returns from an ejection) is sampled with a probability that grows over
// `ramp_up`.
class PowerOfTwoChooser : public UpstreamChooser {
 public:
  struct Options {
    std::string zone;
    std::string region;
    // Time constant of the latency average.
    std::chrono::nanoseconds latency_window = std::chrono::seconds(2);
    // Time constant of the decay of the failure count.
    std::chrono::nanoseconds failure_window = std::chrono::seconds(3);
    std::chrono::nanoseconds ramp_up = std::chrono::seconds(5);
    std::chrono::nanoseconds base_ejection = std::chrono::milliseconds(200);
    std::chrono::nanoseconds max_ejection = std::chrono::seconds(5);
    // Consecutive failures after which an upstream is ejected.
    std::uint32_t failures_to_eject = 3;
    // The better of the two samples is chosen with the odds (worse cost /
    // better cost) to the power of this exponent. If the better one always won,
    // an upstream that is only slightly worse would get no requests at low
    // load, and so no new latency samples.
    double cost_exponent = 4;
    // Requests of this sender in flight on each upstream of a tier at which the
    // next tier is used as well.
    std::uint32_t spillover_in_flight = 8;
  };

  PowerOfTwoChooser(const Options& options, std::uint64_t seed);

  void SetUpstreams(std::vector<UpstreamCandidate> upstreams) override;
  const std::string* Choose(BootTime now,
                            std::span<const std::string> tried) override;
  void OnSent(const std::string& upstream, BootTime now) override;
  void OnFinished(const std::string& upstream,
                  SendResult result,
                  std::chrono::nanoseconds duration,
                  BootTime now) override;

 private:
  struct UpstreamStats {
    std::uint32_t in_flight = 0;
    // In seconds; 0 until the first response.
    double latency = 0;
    BootTime latency_updated;
    // Failures and refusals, with exponential decay.
    double failures = 0;
    BootTime failures_updated;
    std::uint32_t consecutive_failures = 0;
    std::optional<BootTime> ejected_until;
    // Start of the ramp-up; empty if the upstream is warm.
    std::optional<BootTime> cold_since;
    bool listed = false;
  };

  struct Candidate {
    UpstreamCandidate upstream;
    // 0: own zone, 1: own region, 2: elsewhere.
    int tier = 2;
    // Points into stats_, whose nodes do not move.
    UpstreamStats* stats = nullptr;
  };

  double Cost(const UpstreamStats& stats, BootTime now) const;
  double SampleProbability(const UpstreamStats& stats, BootTime now) const;
  void RecordFailure(UpstreamStats& stats, bool is_failure, BootTime now);
  void RecordLatency(UpstreamStats& stats,
                     std::chrono::nanoseconds duration,
                     BootTime now);
  // Returns the candidates of the nearest tiers that are not leaving, not in
  // `tried` and, if `skip_ejected`, not ejected.
  std::vector<const Candidate*> FindUsable(BootTime now,
                                           std::span<const std::string> tried,
                                           bool skip_ejected) const;
  const Candidate* Sample(std::span<const Candidate* const> usable,
                          BootTime now);

  const Options options_;
  std::mt19937_64 random_;
  // Sorted by tier.
  std::vector<Candidate> candidates_;
  // Listed since the last Choose(), which starts their ramp-up.
  std::vector<UpstreamStats*> new_upstreams_;
  std::unordered_map<std::string, UpstreamStats> stats_;
  // Mean latency over all upstreams; assumed for an upstream without a
  // response.
  double mean_latency_ = 0.001;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_POWER_OF_TWO_CHOOSER_H_
