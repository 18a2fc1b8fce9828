// DurationSummary, implemented with Boost.Accumulators.

#include "base/duration_summary.h"

#include <cstddef>
#include <mutex>
#include <span>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "base/thread_shard.h"

namespace pollenrudder {
namespace {

namespace accumulators = boost::accumulators;

// Samples stored in a part before they are passed to the estimator.
constexpr std::size_t kBatchSamples = 128;

using Estimator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

struct alignas(kCacheLineBytes) Part {
  std::mutex mutex;
  std::array<double, kBatchSamples> samples{};
  std::size_t size = 0;
};

}  // namespace

struct DurationSummary::State {
  // Precondition: the caller has locked the mutex of `part`. The mutex of the
  // estimator is always locked second.
  void Flush(Part& part) {
    const std::lock_guard lock(mutex);
    for (const double sample : std::span(part.samples).first(part.size))
      estimator(sample);
    part.size = 0;
  }

  std::array<Part, kThreadShards> parts;
  std::mutex mutex;
  Estimator estimator{accumulators::extended_p_square_probabilities =
                          DurationSummary::kQuantiles};
};

DurationSummary::DurationSummary() : state_(std::make_unique<State>()) {}
DurationSummary::~DurationSummary() = default;

void DurationSummary::Observe(std::chrono::nanoseconds duration) {
  Part& part = state_->parts[ThreadShard()];
  const std::lock_guard lock(part.mutex);
  part.samples[part.size++] = std::chrono::duration<double>(duration).count();
  if (part.size == part.samples.size())
    state_->Flush(part);
}

DurationSummary::Values DurationSummary::Read() {
  for (Part& part : state_->parts) {
    const std::lock_guard lock(part.mutex);
    state_->Flush(part);
  }
  const std::lock_guard lock(state_->mutex);
  Values values;
  values.count = accumulators::count(state_->estimator);
  values.sum = accumulators::sum(state_->estimator);
  if (values.count > 0) {
    const auto quantiles = accumulators::extended_p_square(state_->estimator);
    for (std::size_t index = 0; index < kQuantiles.size(); ++index)
      values.quantiles[index] = quantiles[static_cast<std::ptrdiff_t>(index)];
  }
  return values;
}

}  // namespace pollenrudder
