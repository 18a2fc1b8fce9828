// Quantiles of durations that many threads measure.

#ifndef POLLENRUDDER_BASE_DURATION_SUMMARY_H_
#define POLLENRUDDER_BASE_DURATION_SUMMARY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>

namespace pollenrudder {

// Estimates the 0.5, 0.99 and 0.999 quantiles of all samples. A sample is only
// stored when it is observed; the estimator, which costs about ten times as
// much and can't be split between threads, takes them in batches.
class DurationSummary {
 public:
  static constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

  struct Values {
    // In seconds, for kQuantiles.
    std::array<double, kQuantiles.size()> quantiles{};
    double sum = 0;
    std::uint64_t count = 0;
  };

  DurationSummary();
  ~DurationSummary();
  DurationSummary(const DurationSummary&) = delete;
  DurationSummary& operator=(const DurationSummary&) = delete;

  void Observe(std::chrono::nanoseconds duration);

  // The state with every sample observed so far.
  Values Read();

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_DURATION_SUMMARY_H_
