// Decides when and to which upstream each request is sent.

#ifndef POLLENRUDDER_DISPATCH_DISPATCHER_H_
#define POLLENRUDDER_DISPATCH_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "dispatch/attempt_result.h"
#include "dispatch/dispatch_listener.h"
#include "dispatch/dispatch_request.h"
#include "dispatch/request_queue.h"
#include "dispatch/upstream_estimate.h"
#include "fleet/fleet.h"
#include "fleet/router_configuration.h"
#include "grants/key_table.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Sends each request at once if an upstream has room, lets it wait if it can
// still be answered in time, and refuses it at once otherwise.
//
// Without I/O: decisions go to the DispatchListener, the time comes as an
// argument. Requests go to the upstream with the least expected time; another
// availability zone or region adds to it, since that traffic is billed, and so
// does a share of failures. Where upstreams own keys, the owner is the only
// choice, and requests wait while their key changes hands.
class Dispatcher {
 public:
  struct Options {
    std::string zone;
    // The region of each availability zone.
    std::map<std::string, std::string, std::less<>> region_of_zone;
    std::uint64_t seed = 0;
  };

  // `listener` must outlive the dispatcher.
  Dispatcher(Options options, DispatchListener& listener);

  // `instances` is the number of instances that share the upstreams.
  void SetFleet(const Fleet& fleet,
                const RouterConfiguration& plan,
                std::uint32_t instances,
                BootTime now);
  // `table` must stay valid until the next call; nullptr if there is none.
  void SetKeyTable(const std::string& service,
                   const KeyTable* table,
                   BootTime now);

  // Takes a request that was just received, or one to be sent once more.
  void Submit(DispatchRequest request, BootTime now);
  // Forgets a waiting request, since its caller left. Returns false if it does
  // not wait.
  bool Cancel(const std::string& service, std::uint64_t id);
  // A request that was sent has ended.
  void OnEnded(const DispatchRequest& request,
               const std::string& upstream,
               AttemptResult result,
               std::chrono::nanoseconds elapsed,
               BootTime now);

  // Sends and refuses what the time has made due. Call every few 10 ms while
  // requests wait.
  void Tick(BootTime now);
  bool HasWaiting() const;

  // The time after which an answer of `upstream` is expected.
  std::chrono::nanoseconds ExpectedLatency(std::string_view service,
                                           std::string_view upstream,
                                           BootTime now) const;
  // Returns when the service is likely to have room again.
  std::chrono::nanoseconds RetryAfter(const std::string& service);

  // The load of services that own keys, since the last call.
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad(BootTime now);

 private:
  struct Upstream {
    ListedUpstream entry;
    UpstreamEstimate load;
    bool same_zone = false;
    bool same_region = false;
    std::uint32_t answered = 0;
    BootTime known_since{};
    // Another upstream answers at its address: it has ended, though the list
    // does not say so yet.
    bool replaced = false;

    bool IsUsable() const { return !entry.leaving && !replaced; }
  };
  struct Service {
    std::map<std::string, Upstream, std::less<>> upstreams;
    bool owns_keys = false;
    const KeyTable* keys = nullptr;
    RequestQueue waiting;
    std::vector<KeyNumber> arrived_keys;
    // Rows, by first key, whose owner said that it does not own them, and until
    // when requests for them wait for news.
    std::map<KeyNumber, BootTime> doubtful_rows;
    // Upstreams at whose address another one answered, and when.
    std::vector<std::pair<UpstreamIncarnation, BootTime>> replaced;
  };
  enum class Choice { kSend, kWait, kNoUpstream, kNoOwner };
  struct Decision {
    Choice choice = Choice::kWait;
    Upstream* upstream = nullptr;
  };

  Decision Decide(Service& service,
                  const DispatchRequest& request,
                  BootTime now);
  Decision DecideByKey(Service& service,
                       const DispatchRequest& request,
                       BootTime now);
  // Handles one waiting request; returns whether it leaves the line.
  bool Handle(Service& service, const DispatchRequest& request, BootTime now);
  void Pump(Service& service, BootTime now);
  // How long a new request is expected to wait behind the others.
  std::chrono::nanoseconds ExpectedWait(const Service& service,
                                        const DispatchRequest& request,
                                        BootTime now) const;
  std::chrono::nanoseconds MeanLatency(const Service& service,
                                       BootTime now) const;
  void Refuse(const DispatchRequest& request,
              ErrorKind kind,
              std::chrono::nanoseconds wait);
  double Draw() { return draw_(random_); }

  const Options options_;
  const std::string region_;
  DispatchListener& listener_;
  std::map<std::string, Service, std::less<>> services_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> draw_{0, 1};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCHER_H_
