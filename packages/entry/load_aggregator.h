// Sums the load reports of the instances of one availability zone.

#ifndef POLLENRUDDER_ENTRY_LOAD_AGGREGATOR_H_
#define POLLENRUDDER_ENTRY_LOAD_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Used by the relay of an availability zone, so that the grant leader receives
// one report a zone. The result has the form of the load of one instance.
//
//   aggregator.Add(report, now);       // each report of another instance
//   aggregator.AddTo(own_load, now);   // before each report to the leader
class LoadAggregator {
 public:
  void Add(const LoadReport& report, BootTime now);
  // Adds what was reported since the last call to `services`. Requests in
  // flight count as long as their instance reports.
  void AddTo(std::map<std::string, ServiceLoad, std::less<>>& services,
             BootTime now);

 private:
  struct Upstream {
    std::map<std::string, std::uint32_t, std::less<>> outstanding_by_instance;
    std::uint32_t answered = 0;
    // The leader has to learn that no request is in flight any more.
    bool was_outstanding = false;
  };
  struct Service {
    std::vector<KeyNumber> keys;
    std::map<std::string, Upstream, std::less<>> upstreams;
    std::vector<UpstreamIncarnation> replaced;
    std::vector<UpstreamIncarnation> leaving;
  };

  // Drops the requests in flight of instances that no longer report.
  void RemoveSilentInstances(BootTime now);

  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, BootTime, std::less<>> last_report_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_LOAD_AGGREGATOR_H_
