// LoadAggregator: sums by service and upstream.

#include "entry/load_aggregator.h"

#include <algorithm>
#include <utility>

#include "entry/instance_tracker.h"

namespace pollenrudder {
namespace {

void AddMissing(const std::vector<UpstreamIncarnation>& from,
                std::vector<UpstreamIncarnation>& to) {
  for (const UpstreamIncarnation& incarnation : from) {
    if (std::ranges::find(to, incarnation) == to.end())
      to.push_back(incarnation);
  }
}

}  // namespace

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
    AddMissing(load.replaced, service.replaced);
    AddMissing(load.leaving, service.leaving);
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
    AddMissing(std::exchange(service.replaced, {}), load.replaced);
    AddMissing(std::exchange(service.leaving, {}), load.leaving);
    if (!load.IsEmpty())
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
