// An SVG plot of the latencies of a run.

#ifndef POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_
#define POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_

#include <string>

#include "tests/load/load_result.h"

namespace pollenrudder {

// Draws latency (logarithmic) over the share of requests that took longer
// (logarithmic), so that the tail takes half of the width.
std::string DrawLatencyPlot(const LoadResult& result,
                            const std::string& caption);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_
