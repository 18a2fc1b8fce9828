// Tests of the text exposition format of the metrics.

#include "base/metrics.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

// Guards against output that a scraper cannot parse.
TEST_CASE("metrics are rendered in the text exposition format") {
  const auto metrics = Metrics::Create();
  metrics->Count("requests_total", "service=\"a\"", 2);
  metrics->Count("requests_total", "service=\"a\"");
  metrics->Set("leases", "", 4);
  for (int sample = 0; sample < 100; ++sample)
    metrics->Observe("duration_seconds", "", std::chrono::milliseconds(1));
  const std::string text = metrics->Render();
  REQUIRE(text.find("requests_total{service=\"a\"} 3\n") != std::string::npos);
  REQUIRE(text.find("leases 4\n") != std::string::npos);
  REQUIRE(text.find("duration_seconds{quantile=\"0.99\"} 0.001\n") !=
          std::string::npos);
  REQUIRE(text.find("duration_seconds_count 100\n") != std::string::npos);
}

}  // namespace
}  // namespace pollenrudder
