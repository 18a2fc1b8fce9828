// What one instance tells the granting instance about the load of keys.

#ifndef POLLENRUDDER_GRANTS_LOAD_REPORT_H_
#define POLLENRUDDER_GRANTS_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "grants/key_assignment.h"
#include "grants/key_range.h"

namespace pollenrudder {

// The requests of one service since the last report.
struct ServiceLoad {
  // The load of one upstream.
  struct UpstreamShare {
    // Requests of this instance that it has now or that wait for it here.
    std::uint32_t outstanding = 0;
    // Answers since the last report.
    std::uint32_t answered = 0;
  };

  // The key of each request that arrived.
  std::vector<KeyNumber> keys;
  std::map<std::string, UpstreamShare, std::less<>> upstreams;
  // Upstreams that have ended: another one answered at their address. Repeated
  // for a while, since a report may be lost.
  std::vector<UpstreamIncarnation> replaced;
};

// A report. It is sent often and may be lost.
struct LoadReport {
  std::string instance;
  // The availability zone of the instance.
  std::string zone;
  // The processor time that it may use, in cores.
  double cores = 1;
  std::map<std::string, ServiceLoad, std::less<>> services;
};

std::string EncodeLoadReport(const LoadReport& report);
// Returns nothing for a datagram that is no report.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_LOAD_REPORT_H_
