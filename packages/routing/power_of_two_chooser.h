// Choice of the better of two random upstreams.

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

// Draws two upstreams of the nearest tier with a usable one (own zone, own
// region, elsewhere) and mostly takes the one with the lower cost:
//   (requests in flight + 1) x recent latency x penalty for recent failures.
// An upstream that has failed several times in a row is unusable for a moment
// that doubles up to a limit. A tier is passed over while all its upstreams
// are unusable or already have `spillover_in_flight` requests of this sender. A
// cold upstream takes part with a share that grows over `ramp_up`.
class PowerOfTwoChooser : public UpstreamChooser {
 public:
  struct Options {
    std::string zone;
    std::string region;
    // The time constant of the latency average.
    std::chrono::nanoseconds latency_window = std::chrono::seconds(2);
    // The time constant with which failures are forgotten.
    std::chrono::nanoseconds failure_window = std::chrono::seconds(3);
    std::chrono::nanoseconds ramp_up = std::chrono::seconds(5);
    std::chrono::nanoseconds base_ejection = std::chrono::milliseconds(200);
    std::chrono::nanoseconds max_ejection = std::chrono::seconds(5);
    // Failures in a row after which an upstream is paused.
    std::uint32_t failures_to_eject = 3;
    // The better one of two is taken with the odds (worse cost / better cost)
    // to the power of this. If it always won, an upstream that is hardly worse
    // would get no request, and no new sample, at low load.
    double cost_exponent = 4;
    // Requests of this sender in flight on each upstream of a tier at which
    // the next tier is used as well.
    std::uint32_t spillover_in_flight = 8;
  };

  PowerOfTwoChooser(const Options& options, std::uint64_t seed);

  void SetUpstreams(std::vector<UpstreamCandidate> upstreams) override;
  const std::string* Choose(BootTime now,
                            std::span<const std::string> tried) override;
  void OnSent(const std::string& upstream, BootTime now) override;
  void OnFinished(const std::string& upstream,
                  SendResult end,
                  std::chrono::nanoseconds duration,
                  BootTime now) override;

 private:
  struct Observed {
    std::uint32_t in_flight = 0;
    // In seconds; 0 until the first answer.
    double latency = 0;
    BootTime latency_at;
    // Failures and refusals, decaying.
    double failures = 0;
    BootTime failures_at;
    std::uint32_t consecutive_failures = 0;
    std::optional<BootTime> paused_until;
    // The ramp-up starts here; without a value the upstream is warm.
    std::optional<BootTime> cold_since;
    bool listed = false;
  };

  struct Entry {
    UpstreamCandidate upstream;
    // 0: own zone, 1: own region, 2: elsewhere.
    int tier = 2;
    // Points into observed_, whose nodes do not move.
    Observed* observed = nullptr;
  };

  double Cost(const Observed& observed, BootTime now) const;
  double WarmShare(const Observed& observed, BootTime now) const;
  void RecordFailure(Observed& observed, bool failed, BootTime now);
  void RecordLatency(Observed& observed,
                     std::chrono::nanoseconds duration,
                     BootTime now);
  // Entries of the nearest tiers that are not leaving, not in `tried` and, if
  // `skip_paused`, not paused.
  std::vector<const Entry*> Usable(BootTime now,
                                   std::span<const std::string> tried,
                                   bool skip_paused) const;
  const Entry* Draw(std::span<const Entry* const> usable, BootTime now);

  const Options options_;
  std::mt19937_64 random_;
  // By tier.
  std::vector<Entry> entries_;
  // Listed since the last Choose(), which starts their ramp-up.
  std::vector<Observed*> added_;
  std::unordered_map<std::string, Observed> observed_;
  // The mean latency over all upstreams, assumed for one without an answer.
  double mean_latency_ = 0.001;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_POWER_OF_TWO_CHOOSER_H_
