// Quantiles of durations that many threads record.

#ifndef POLLENRUDDER_BASE_DURATION_SUMMARY_H_
#define POLLENRUDDER_BASE_DURATION_SUMMARY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>

namespace pollenrudder {

// Estimates the 0.5, 0.99 and 0.999 quantiles of all samples. Observe() only
// stores the sample. The estimator processes samples in batches, because it
// costs about ten times as much and cannot be split between threads.
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

  // Returns the values for all samples observed so far.
  Values Read();

 private:
  struct State;

  const std::unique_ptr<State> state_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_DURATION_SUMMARY_H_
