// Decides when and to which upstream each request is sent.

#ifndef POLLENRUDDER_DISPATCH_DISPATCHER_H_
#define POLLENRUDDER_DISPATCH_DISPATCHER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "dispatch/attempt_result.h"
#include "dispatch/cold_rate_limiter.h"
#include "dispatch/dispatch_listener.h"
#include "dispatch/dispatch_request.h"
#include "dispatch/request_queue.h"
#include "dispatch/upstream_estimate.h"
#include "fleet/fleet.h"
#include "fleet/fleet_contact.h"
#include "fleet/router_configuration.h"
#include "grants/key_table.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Sends a request at once if an upstream has capacity, queues it if a response
// in time is still possible, and refuses it otherwise.
//
// Performs no I/O: it calls the DispatchListener with its decisions and takes
// the time as an argument. A request goes to the upstream with the lowest
// expected latency. Upstreams in another availability zone or region get a
// penalty, since that traffic is billed, and so do upstreams with failures. If
// upstreams own keys, only the owner of the key is eligible, and requests are
// queued while their key moves to another owner. A request with allowed regions
// is sent to no upstream outside of them, and refused at once if there is none.
class Dispatcher {
 public:
  struct Options {
    std::string zone;
    // Maps availability zones to regions.
    std::map<std::string, std::string, std::less<>> region_of_zone;
    std::uint64_t seed = 0;
    // How long the owner of a key gets its requests after it announced that it
    // is leaving, unless the instance list says so too, or after the evacuation
    // of its availability zone became known. Its keys are moved meanwhile.
    std::chrono::nanoseconds leaving_owner_time = std::chrono::seconds(1);
    // How recent the fleet is. Must outlive the dispatcher. If null, the fleet
    // counts as up to date.
    const FleetContact* contact = nullptr;
  };

  // `listener` must outlive the dispatcher.
  Dispatcher(Options options, DispatchListener& listener);

  // `instances` is the number of instances that share the upstreams.
  void SetFleet(const Fleet& fleet,
                const RouterConfiguration& configuration,
                std::uint32_t instances,
                BootTime now);
  // `table` must stay valid until the next call; nullptr if there is none.
  void SetKeyTable(const std::string& service,
                   const KeyTable* table,
                   BootTime now);

  // Accepts a new request or a request for another attempt.
  void Submit(DispatchRequest request, BootTime now);
  // Removes a queued request after its caller disconnected. Returns false if it
  // is not queued.
  bool Cancel(const std::string& service, std::uint64_t id);
  // Called when an attempt has ended.
  void OnEnded(const DispatchRequest& request,
               const std::string& upstream,
               AttemptResult result,
               std::chrono::nanoseconds elapsed,
               BootTime now);

  // Called when a response of `upstream` states that it is leaving; before the
  // request of that response is submitted again or ended. Returns whether that
  // is new. This incarnation gets no more requests, whatever the list says.
  bool OnLeavingAnnounced(const std::string& service,
                          const ListedUpstream& upstream,
                          BootTime now);

  // Called when a response of `upstream` states that it wants no requests of
  // this instance for `pause`; as early as OnLeavingAnnounced().
  void OnPauseRequested(const std::string& service,
                        const ListedUpstream& upstream,
                        std::chrono::nanoseconds pause,
                        BootTime now);
  // Returns whether the request would be refused, because the upstreams that
  // may get it want no requests for longer than it can wait.
  bool IsRefusedForPause(const DispatchRequest& request, BootTime now) const;

  // Called when `upstream` states that it is cold for `remaining`.
  void OnColdStated(const ListedUpstream& upstream,
                    std::chrono::nanoseconds remaining,
                    BootTime now);
  // Called when `upstream` did not state whether it is cold; it counts as cold.
  void OnNotConfirmed(const ListedUpstream& upstream, BootTime now);

  // Returns whether this incarnation is listed and not known to be leaving.
  bool IsListedToStay(const ListedUpstream& upstream) const;

  // Returns whether the upstream to which a request is being sent may still get
  // it. It may have begun to leave, or requested a pause, while the connection
  // was opened.
  bool MaySendTo(const DispatchRequest& request,
                 const ListedUpstream& upstream,
                 BootTime now) const;

  // Returns whether `upstream` is cold, and became so after `chosen_at`, when
  // it was chosen for a request: that request has no permit.
  bool HasBecomeCold(const ListedUpstream& upstream,
                     BootTime chosen_at,
                     BootTime now) const;

  // Chooses an upstream for a second send of a request that waits for its
  // response, and counts that send, which is to be reported to OnEnded() as any
  // other. Returns nothing if a request waits, or if no upstream within the
  // region that the request was not sent to has free capacity; upstreams that
  // are cold, paused or ejected have none.
  std::optional<ListedUpstream> TrySendHedge(const DispatchRequest& request,
                                             BootTime now);
  // As MaySendTo(), for a second send.
  bool MaySendHedgeTo(const DispatchRequest& request,
                      const ListedUpstream& upstream,
                      BootTime now) const;

  // Sends and refuses the queued requests that are due. Call it every few tens
  // of milliseconds while requests are queued.
  void Tick(BootTime now);
  bool HasWaiting() const;

  // Returns the expected latency of a response from `upstream`.
  std::chrono::nanoseconds ExpectedLatency(std::string_view service,
                                           std::string_view upstream,
                                           BootTime now) const;
  // As above, from the upstreams of `service` on average.
  std::chrono::nanoseconds ExpectedLatency(std::string_view service,
                                           BootTime now) const;
  // Returns after how long there is likely to be capacity for a request like
  // this one.
  std::chrono::nanoseconds RetryAfter(const DispatchRequest& request,
                                      BootTime now);

  // Returns the load, since the last call, of the services whose upstreams own
  // keys.
  std::map<std::string, ServiceLoad, std::less<>> TakeLoad(BootTime now);

 private:
  // Bounds Options::leaving_owner_time during an evacuation, which has to be
  // complete within seconds however long planned stops of upstreams take.
  static constexpr std::chrono::nanoseconds kMaxEvacuatedOwnerTime =
      std::chrono::seconds(2);

  struct Upstream {
    ListedUpstream entry;
    UpstreamEstimate estimate;
    ColdRateLimiter cold{0};
    // While it is unknown whether the upstream is cold: limits the requests
    // that are sent without asking it.
    ColdRateLimiter presumed_cold{0};
    // Empty if the settings do not name its zone.
    std::string region;
    bool same_zone = false;
    bool same_region = false;
    std::uint32_t answered = 0;
    BootTime listed_since{};
    // Another upstream responded at its address: this one has ended, although
    // it is still listed.
    bool replaced = false;
    // When a response first stated that it is leaving.
    std::optional<BootTime> leaving_since;
    // When the evacuation of its availability zone became known, while it
    // lasts.
    std::optional<BootTime> evacuated_since;

    // Returns the earliest time at which the upstream wants the next request.
    BootTime ResumesAt(BootTime now) const {
      return std::max(estimate.requested_pause_until(), cold.NextPermit(now));
    }
    bool IsUsable() const {
      return !entry.leaving && !replaced && !leaving_since && !evacuated_since;
    }
    // As IsUsable(), for requests with keys that it owns.
    bool IsUsableAsOwner(std::chrono::nanoseconds leaving_time,
                         BootTime now) const {
      return !entry.leaving && !replaced &&
             (!leaving_since || now < *leaving_since + leaving_time) &&
             (!evacuated_since ||
              now < *evacuated_since +
                        std::min(leaving_time, kMaxEvacuatedOwnerTime));
    }
  };
  // An incarnation that announced that it is leaving.
  struct Departure {
    std::chrono::milliseconds started_at{0};
    BootTime since{};
  };
  // A pause that an incarnation requested.
  struct Pause {
    std::chrono::milliseconds started_at{0};
    BootTime until{};
  };
  // The owner of a row rejected a request as not its own: requests wait for
  // another owner or token, or until the owner has probably been granted the
  // keys again.
  struct Rejection {
    UpstreamIncarnation owner;
    std::uint64_t token = 0;
    BootTime until{};
    std::chrono::nanoseconds delay{0};

    bool Concerns(const KeyAssignment& row) const {
      return row.owner == owner && row.token == token;
    }
  };
  struct Service {
    std::map<std::string, Upstream, std::less<>> upstreams;
    bool owns_keys = false;
    // See ServicePolicy.
    std::chrono::nanoseconds cold_time{0};
    double cold_rate = 0;
    const KeyTable* keys = nullptr;
    RequestQueue queue;
    std::vector<KeyNumber> arrived_keys;
    // By first key of the row.
    std::map<KeyNumber, Rejection> rejections;
    // Upstreams that have ended, because another one responded at their
    // address, and when that happened.
    std::vector<std::pair<UpstreamIncarnation, BootTime>> replaced;
    // By upstream name. Includes upstreams that are no longer listed, because
    // the list may name such an incarnation again.
    std::map<std::string, Departure, std::less<>> departures;
    // The same for pauses that have not ended.
    std::map<std::string, Pause, std::less<>> pauses;
  };
  enum class Choice { kSend, kWait, kPaused, kNoUpstream, kNoOwner };
  struct Decision {
    Choice choice = Choice::kWait;
    Upstream* upstream = nullptr;
    // For kPaused: when the first of the pauses ends.
    BootTime resumes_at{};
  };

  bool IsUsableFor(const Service& service,
                   const Upstream& upstream,
                   const DispatchRequest& request,
                   BootTime now) const;
  // As IsUsableFor(), for a second send.
  bool IsUsableForHedge(const Service& service,
                        const Upstream& upstream,
                        const DispatchRequest& request,
                        BootTime now) const;
  // Limits the requests to `upstream`, which is cold until `until`.
  void StartCold(Upstream& upstream,
                 std::string_view reason,
                 BootTime until,
                 BootTime now);
  // Returns whether a request may be sent to an upstream that may be cold
  // without asking it, and counts that send.
  bool TryTakePermit(const Service& service, Upstream& upstream, BootTime now);
  void UpdateColdInstances(std::uint32_t instances, BootTime now);
  // Records whether the owner of the request's key rejected it as not its own.
  static void RecordRejection(Service& service,
                              const DispatchRequest& request,
                              AttemptResult result,
                              BootTime now);
  // Returns the number of instances among which the requests to cold upstreams
  // are divided.
  std::uint32_t InstancesAtCold(BootTime now) const;
  bool IsInstanceCountKnown(BootTime now) const;
  // Returns the upstream if this incarnation is listed, and nullptr otherwise.
  Upstream* FindIncarnation(const ListedUpstream& upstream);
  // Returns whether this instance does not follow the instance list and the
  // evacuations.
  bool LacksContact(BootTime now) const;
  // Returns whether the upstream may have become cold without the knowledge of
  // this instance.
  bool MayBeCold(const Service& service,
                 const Upstream& upstream,
                 BootTime now) const;
  // Returns whether the upstream is in a region that may get the request.
  static bool IsAllowedAt(const Upstream& upstream,
                          const DispatchRequest& request);
  // Returns whether the request has to stay in the region of this instance,
  // because its response is large and upstreams here are usable.
  bool StaysInRegion(const Service& service,
                     const DispatchRequest& request,
                     BootTime now) const;
  // Returns whether all listed upstreams are outside the request's regions or
  // in evacuated availability zones, so that no change of owners helps it.
  static bool IsOutOfReach(const Service& service,
                           const DispatchRequest& request);
  // Returns the owner of the request's key if it is listed.
  const Upstream* FindOwner(const Service& service,
                            const DispatchRequest& request) const;
  // Returns when the first of the upstreams that may get the request wants
  // requests again; `now` if one does, or if there is none.
  BootTime ResumesAt(const Service& service,
                     const DispatchRequest& request,
                     BootTime now) const;
  // Returns whether a request that its upstreams want only from `resumes_at` on
  // is queued until then rather than refused at once.
  bool CanWaitUntil(const Service& service,
                    const DispatchRequest& request,
                    BootTime resumes_at,
                    BootTime now) const;
  Decision Decide(Service& service,
                  const DispatchRequest& request,
                  BootTime now);
  Decision DecideByKey(Service& service,
                       const DispatchRequest& request,
                       BootTime now);
  // Sends or refuses the request if possible; returns false if it has to be
  // queued or stay queued.
  bool TryDispatch(Service& service,
                   const DispatchRequest& request,
                   BootTime now);
  void Send(const Service& service,
            const DispatchRequest& request,
            Upstream& upstream,
            BootTime now);
  void ProcessQueue(Service& service, BootTime now);
  // Returns the expected time in the queue of a new request.
  std::chrono::nanoseconds ExpectedWait(const Service& service,
                                        const DispatchRequest& request,
                                        BootTime now) const;
  std::chrono::nanoseconds MeanLatency(const Service& service,
                                       BootTime now) const;
  void Refuse(const Service& service,
              const DispatchRequest& request,
              ErrorKind kind,
              std::chrono::nanoseconds wait,
              BootTime now);
  // Returns the time after which the caller of a refused request may come back.
  // Varies, so that callers who are refused together come back one by one.
  std::chrono::nanoseconds RetryAfter(const Service& service,
                                      const DispatchRequest& request,
                                      std::chrono::nanoseconds wait,
                                      BootTime now);
  double Draw() { return draw_(random_); }

  const Options options_;
  const std::string region_;
  DispatchListener& listener_;
  std::map<std::string, Service, std::less<>> services_;
  // The number of instances, which may be known inexactly, and since when it
  // has been below `cold_instances_`, the larger number that is still assumed
  // for cold upstreams.
  std::uint32_t instances_ = 1;
  std::uint32_t cold_instances_ = 1;
  std::optional<BootTime> fewer_instances_since_;
  // When the list was first known.
  std::optional<BootTime> started_at_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> draw_{0, 1};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DISPATCHER_H_
