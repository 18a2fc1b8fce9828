// The load of keys and upstreams that each instance reports to the grant
// leader.

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
  // The requests of the reporting instance to one upstream.
  struct UpstreamShare {
    // Requests in flight or queued.
    std::uint32_t outstanding = 0;
    // Responses since the last report.
    std::uint32_t answered = 0;
  };

  // The key of each request that arrived.
  std::vector<KeyNumber> keys;
  std::map<std::string, UpstreamShare, std::less<>> upstreams;
  // Incarnations that have ended, because another upstream responded at their
  // address. Repeated in several reports, since a report may be lost.
  std::vector<UpstreamIncarnation> replaced;
  // Incarnations that announced in a response that they are leaving. Named in
  // each report while the instance list says that they are ready.
  std::vector<UpstreamIncarnation> leaving;

  bool IsEmpty() const {
    return keys.empty() && upstreams.empty() && replaced.empty() &&
           leaving.empty();
  }
};

// The report of one instance, sent as a datagram at short intervals; it may be
// lost.
struct LoadReport {
  // An instance that reports to the sender.
  struct Member {
    std::string instance;
    // "ip:port" to which reports and updates are sent.
    std::string address;
    double cores = 1;
  };

  std::string instance;
  // The availability zone of the instance.
  std::string zone;
  // The processor capacity of the instance, in cores.
  double cores = 1;
  std::map<std::string, ServiceLoad, std::less<>> services;
  // The number of instances whose load the report contains. The report of the
  // relay of an availability zone contains those of its members.
  std::uint32_t instances = 1;
  // The member with the most cores, which could replace the sender.
  std::optional<Member> strongest_member;
};

std::string EncodeLoadReport(const LoadReport& report);
// Returns nothing if the datagram is not a load report.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_LOAD_REPORT_H_
