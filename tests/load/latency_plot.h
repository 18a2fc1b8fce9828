// SVG plot of latency quantiles.

#ifndef POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_
#define POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_

#include <string>

#include "tests/load/load_result.h"

namespace pollenrudder {

// Returns an SVG document that plots latency over the share of slower requests.
// Both axes are logarithmic, so that the tail gets half of the width.
std::string DrawLatencyPlot(const LoadResult& result,
                            const std::string& caption);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LATENCY_PLOT_H_
