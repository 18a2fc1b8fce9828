// A Dispatcher whose decisions are recorded, for its tests.

#ifndef POLLENRUDDER_DISPATCH_DISPATCHER_FIXTURE_TEST_H_
#define POLLENRUDDER_DISPATCH_DISPATCHER_FIXTURE_TEST_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"

namespace pollenrudder {

inline BootTime At(std::chrono::milliseconds time) {
  return BootTime(std::chrono::seconds(100) + time);
}

// Records the decisions of a Dispatcher.
class DispatchRecorder : public DispatchListener {
 public:
  struct Refusal {
    std::uint64_t id;
    ErrorKind kind;
    std::chrono::nanoseconds retry_after;
  };

  // A send that `upstream` has to confirm first.
  struct Confirmation {
    DispatchRequest request;
    ListedUpstream upstream;
  };

  void OnSend(const DispatchRequest& request,
              const ListedUpstream& upstream,
              bool needs_confirmation) override {
    if (needs_confirmation)
      confirmations.push_back({request, upstream});
    else
      sent.emplace_back(request.id, upstream.name);
  }
  bool DropIfObsolete(const DispatchRequest& request) override {
    return abandoned.contains(request.id);
  }
  void OnColdPeriod(const ListedUpstream& upstream,
                    std::string_view /*reason*/,
                    std::chrono::nanoseconds /*duration*/,
                    std::uint32_t /*instances*/) override {
    cold.push_back(upstream.name);
  }
  void OnRefuse(const DispatchRequest& request,
                ErrorKind kind,
                std::chrono::nanoseconds retry_after) override {
    refused.push_back({request.id, kind, retry_after});
  }

  int CountTo(const std::string& upstream) const {
    return static_cast<int>(std::ranges::count_if(
        sent, [&](const auto& entry) { return entry.second == upstream; }));
  }

  // The sends that need no confirmation, and those that do.
  std::vector<std::pair<std::uint64_t, std::string>> sent;
  std::vector<Confirmation> confirmations;
  std::vector<Refusal> refused;
  std::vector<std::string> cold;
  // The requests whose callers have gone.
  std::set<std::uint64_t> abandoned;
};

// A Dispatcher with the list and the configuration of one service, "soil".
struct DispatcherFixture {
  explicit DispatcherFixture(const std::string& zone = "a1")
      : dispatcher({zone,
                    {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}},
                    /*seed=*/1},
                   recorder) {
    configuration.services["soil"].max_connections = 100;
  }

  void Add(const std::string& name,
           const std::string& zone,
           std::uint32_t slots = 2) {
    ListedUpstream entry;
    entry.name = name;
    entry.service = "soil";
    entry.zone = zone;
    entry.slots = slots;
    entry.started_at = std::chrono::milliseconds(1);
    fleet.Apply({name, entry}, At(std::chrono::milliseconds(0)));
    dispatcher.SetFleet(fleet, configuration, 4,
                        At(std::chrono::milliseconds(0)));
  }

  KeyTable AddOwnerOfAllKeys(const std::string& name) {
    configuration.services["soil"].owns_keys = true;
    Add(name, "a1", 8);
    KeyAssignment row;
    row.owner = {name, std::chrono::milliseconds(1)};
    KeyTable table;
    table.Assign(row);
    return table;
  }

  DispatchRequest Request(std::uint64_t id,
                          BootTime now,
                          std::uint32_t priority = 1) const {
    DispatchRequest request;
    request.id = id;
    request.service = "soil";
    request.priority = priority;
    request.arrived = now;
    request.latency_objective = std::chrono::milliseconds(300);
    request.deadline = now + std::chrono::milliseconds(1000);
    return request;
  }

  void End(const std::string& upstream,
           AttemptResult result,
           std::chrono::milliseconds elapsed,
           BootTime now) {
    DispatchRequest request;
    request.service = "soil";
    request.latency_objective = std::chrono::milliseconds(300);
    dispatcher.OnEnded(request, upstream, result, elapsed, now);
  }

  DispatchRecorder recorder;
  Fleet fleet;
  RouterConfiguration configuration;
  Dispatcher dispatcher;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCHER_FIXTURE_TEST_H_
