// Metrics: maps of counters, gauges and summaries behind a mutex.

#include "base/metrics.h"

#include <cstddef>
#include <iomanip>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

namespace pollenrudder {
namespace {

// The default of 6 digits would round counters above a million.
constexpr int kSignificantDigits = 15;

using MetricKey = std::pair<std::string, std::string>;

void RenderSample(std::ostream& output,
                  std::string_view name,
                  std::string_view labels,
                  double value) {
  output << name;
  if (!labels.empty())
    output << '{' << labels << '}';
  output << ' ' << std::setprecision(kSignificantDigits) << value << '\n';
}

void RenderSummary(std::ostream& output,
                   const MetricKey& key,
                   DurationSummary& summary) {
  const auto& [name, labels] = key;
  const DurationSummary::Values values = summary.Read();
  for (std::size_t index = 0; index < values.quantiles.size(); ++index) {
    std::ostringstream quantile_labels;
    quantile_labels << labels << (labels.empty() ? "" : ",") << "quantile=\""
                    << DurationSummary::kQuantiles[index] << '"';
    RenderSample(output, name, quantile_labels.str(), values.quantiles[index]);
  }
  RenderSample(output, name + "_sum", labels, values.sum);
  RenderSample(output, name + "_count", labels,
               static_cast<double>(values.count));
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  // Nodes of std::map do not move, so that references stay valid.
  std::map<MetricKey, Counter> counters;
  std::map<MetricKey, double> gauges;
  std::map<MetricKey, DurationSummary> summaries;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::Create() {
  return std::unique_ptr<Metrics>(new Metrics());
}

void Metrics::Count(std::string_view name,
                    std::string_view labels,
                    std::uint64_t amount) {
  CounterFor(name, labels).Add(amount);
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
  SummaryFor(name, labels).Observe(duration);
}

Counter& Metrics::CounterFor(std::string_view name, std::string_view labels) {
  const std::lock_guard lock(state_->mutex);
  return state_->counters[{std::string(name), std::string(labels)}];
}

DurationSummary& Metrics::SummaryFor(std::string_view name,
                                     std::string_view labels) {
  const std::lock_guard lock(state_->mutex);
  return state_->summaries[{std::string(name), std::string(labels)}];
}

std::string Metrics::Render() const {
  const std::lock_guard lock(state_->mutex);
  std::ostringstream output;
  for (const auto& [key, counter] : state_->counters) {
    RenderSample(output, key.first, key.second,
                 static_cast<double>(counter.value()));
  }
  for (const auto& [key, value] : state_->gauges)
    RenderSample(output, key.first, key.second, value);
  for (auto& [key, summary] : state_->summaries)
    RenderSummary(output, key, summary);
  return output.str();
}

}  // namespace pollenrudder
