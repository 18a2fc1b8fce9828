// Metrics over Boost.Accumulators.

#include "base/metrics.h"

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace pollenrudder {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

using Summary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

using MetricKey = std::pair<std::string, std::string>;

void RenderSample(std::ostream& output,
                  std::string_view name,
                  std::string_view labels,
                  double value) {
  output << name;
  if (!labels.empty())
    output << '{' << labels << '}';
  output << ' ' << value << '\n';
}

void RenderSummary(std::ostream& output,
                   const MetricKey& key,
                   const Summary& summary) {
  const auto& [name, labels] = key;
  for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
    std::ostringstream quantile_labels;
    quantile_labels << labels << (labels.empty() ? "" : ",") << "quantile=\""
                    << kQuantiles[index] << '"';
    RenderSample(output, name, quantile_labels.str(),
                 accumulators::extended_p_square(
                     summary)[static_cast<std::ptrdiff_t>(index)]);
  }
  RenderSample(output, name + "_sum", labels, accumulators::sum(summary));
  RenderSample(output, name + "_count", labels,
               static_cast<double>(accumulators::count(summary)));
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  std::map<MetricKey, double> counters;
  std::map<MetricKey, double> gauges;
  std::map<MetricKey, Summary> summaries;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::Create() {
  return std::unique_ptr<Metrics>(new Metrics());
}

void Metrics::Count(std::string_view name,
                    std::string_view labels,
                    std::uint64_t amount) {
  const std::lock_guard lock(state_->mutex);
  state_->counters[{std::string(name), std::string(labels)}] +=
      static_cast<double>(amount);
}

void Metrics::Set(std::string_view name,
                  std::string_view labels,
                  double value) {
  const std::lock_guard lock(state_->mutex);
  state_->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::Observe(std::string_view name,
                      std::string_view labels,
                      std::chrono::nanoseconds duration) {
  const std::lock_guard lock(state_->mutex);
  MetricKey key{std::string(name), std::string(labels)};
  auto found = state_->summaries.find(key);
  if (found == state_->summaries.end()) {
    Summary summary(accumulators::extended_p_square_probabilities = kQuantiles);
    found = state_->summaries.emplace(std::move(key), summary).first;
  }
  found->second(std::chrono::duration<double>(duration).count());
}

std::string Metrics::Render() const {
  const std::lock_guard lock(state_->mutex);
  std::ostringstream output;
  for (const auto& [key, value] : state_->counters)
    RenderSample(output, key.first, key.second, value);
  for (const auto& [key, value] : state_->gauges)
    RenderSample(output, key.first, key.second, value);
  for (const auto& [key, summary] : state_->summaries)
    RenderSummary(output, key, summary);
  return output.str();
}

}  // namespace pollenrudder
