// LoadAggregator: sums by service and upstream.

#include "entry/load_aggregator.h"

#include <algorithm>
#include <utility>

#include "entry/instance_tracker.h"

namespace pollenrudder {

void LoadAggregator::Add(const LoadReport& report, BootTime now) {
  last_report_[report.instance] = now;
  for (const auto& [name, load] : report.services) {
    Service& service = services_[name];
    service.keys.insert(service.keys.end(), load.keys.begin(), load.keys.end());
    // A report names each upstream with requests in flight, so the others have
    // none.
    for (auto& [upstream_name, upstream] : service.upstreams)
      upstream.outstanding_by_instance.erase(report.instance);
    for (const auto& [upstream_name, share] : load.upstreams) {
      Upstream& upstream = service.upstreams[upstream_name];
      if (share.outstanding > 0)
        upstream.outstanding_by_instance[report.instance] = share.outstanding;
      upstream.answered += share.answered;
    }
    for (const UpstreamIncarnation& incarnation : load.replaced) {
      if (std::ranges::find(service.replaced, incarnation) ==
          service.replaced.end())
        service.replaced.push_back(incarnation);
    }
  }
}

void LoadAggregator::AddTo(
    std::map<std::string, ServiceLoad, std::less<>>& services,
    BootTime now) {
  RemoveSilentInstances(now);
  for (auto& [name, service] : services_) {
    ServiceLoad load;
    const auto known = services.find(name);
    if (known != services.end())
      load = known->second;
    load.keys.insert(load.keys.end(), service.keys.begin(), service.keys.end());
    service.keys.clear();
    for (auto& [upstream_name, upstream] : service.upstreams) {
      std::uint32_t outstanding = 0;
      for (const auto& [instance, count] : upstream.outstanding_by_instance)
        outstanding += count;
      if (outstanding == 0 && upstream.answered == 0 &&
          !upstream.was_outstanding)
        continue;
      ServiceLoad::UpstreamShare& share = load.upstreams[upstream_name];
      share.outstanding += outstanding;
      share.answered += std::exchange(upstream.answered, 0);
      upstream.was_outstanding = outstanding > 0;
    }
    for (const UpstreamIncarnation& incarnation :
         std::exchange(service.replaced, {})) {
      if (std::ranges::find(load.replaced, incarnation) == load.replaced.end())
        load.replaced.push_back(incarnation);
    }
    if (!load.keys.empty() || !load.upstreams.empty() || !load.replaced.empty())
      services.insert_or_assign(name, std::move(load));
  }
}

void LoadAggregator::RemoveSilentInstances(BootTime now) {
  std::erase_if(last_report_, [&](const auto& entry) {
    if (now < entry.second + InstanceTracker::kReportTimeout)
      return false;
    for (auto& [name, service] : services_) {
      for (auto& [upstream_name, upstream] : service.upstreams)
        upstream.outstanding_by_instance.erase(entry.first);
    }
    return true;
  });
}

}  // namespace pollenrudder
