// Writes the latency plot as SVG text.

#include "tests/load/latency_plot.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace pollenrudder {
namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 360;
constexpr double kMargin = 60;
// The horizontal axis ends at the quantile 1 - 10^-kDecades.
constexpr int kDecades = 4;
constexpr int kPointsPerDecade = 25;

}  // namespace

std::string DrawLatencyPlot(const LoadResult& result,
                            const std::string& caption) {
  const double low = std::log10(
      std::max<double>(1, static_cast<double>(result.Quantile(0).count())));
  const double high = std::max(
      low + 1, std::log10(std::max<double>(
                   1, static_cast<double>(result.Quantile(1).count()))));
  const auto x = [](double decades) {
    return kMargin + decades / kDecades * (kWidth - 2 * kMargin);
  };
  const auto y = [&](double logarithm) {
    return kHeight - kMargin -
           (logarithm - low) / (high - low) * (kHeight - 2 * kMargin);
  };
  std::ostringstream svg;
  svg << std::fixed << std::setprecision(1)
      << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\""
      << kMargin << "\" y=\"24\">" << caption << "</text>\n";
  for (int decade = 0; decade <= kDecades; ++decade) {
    svg << "<text x=\"" << x(decade) - 16 << "\" y=\"" << kHeight - kMargin + 20
        << "\">" << std::setprecision(std::max(0, decade - 2))
        << 100 * (1 - std::pow(10, -decade)) << "%</text>\n"
        << std::setprecision(1);
  }
  for (int power = static_cast<int>(std::ceil(low)); power <= high; ++power) {
    svg << "<line x1=\"" << kMargin << "\" x2=\"" << kWidth - kMargin
        << "\" y1=\"" << y(power) << "\" y2=\"" << y(power)
        << "\" stroke=\"#ccc\"/>\n<text x=\"4\" y=\"" << y(power) + 4 << "\">"
        << std::setprecision(2) << std::pow(10, power - 3) << " ms</text>\n"
        << std::setprecision(1);
  }
  svg << "<polyline fill=\"none\" stroke=\"#06c\" stroke-width=\"2\" points=\"";
  for (int point = 0; point <= kDecades * kPointsPerDecade; ++point) {
    const double decades = static_cast<double>(point) / kPointsPerDecade;
    const auto latency = result.Quantile(1 - std::pow(10, -decades));
    svg << x(decades) << ','
        << y(std::log10(
               std::max<double>(1, static_cast<double>(latency.count()))))
        << ' ';
  }
  svg << "\"/>\n</svg>\n";
  return svg.str();
}

}  // namespace pollenrudder
