// Metrics of the process, rendered in the Prometheus text exposition format.

#ifndef POLLENRUDDER_BASE_METRICS_H_
#define POLLENRUDDER_BASE_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/counter.h"
#include "base/duration_summary.h"

namespace pollenrudder {

// A named set of counters, gauges and duration summaries. A metric is created
// by its first use. `labels` is the text between the braces of a sample, such
// as `service="geodata"`, or empty. All functions may be called from any
// thread. docs/metrics.md lists the metrics.
class Metrics {
 public:
  static std::unique_ptr<Metrics> Create();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Count(std::string_view name,
             std::string_view labels = {},
             std::uint64_t amount = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  // Adds a sample to a summary with the 0.5, 0.99 and 0.999 quantiles.
  void Observe(std::string_view name,
               std::string_view labels,
               std::chrono::nanoseconds duration);

  // Return the metric itself, for code that uses it for each request: the
  // look-up costs more than the update. The references are valid for the
  // lifetime of this object.
  Counter& CounterFor(std::string_view name, std::string_view labels = {});
  DurationSummary& SummaryFor(std::string_view name,
                              std::string_view labels = {});

  // Renders every metric, sorted by name and labels.
  std::string Render() const;

 private:
  struct State;

  Metrics();

  const std::unique_ptr<State> state_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_METRICS_H_
