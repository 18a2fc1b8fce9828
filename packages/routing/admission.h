// Admission control for one upstream, at its leader.

#ifndef POLLENRUDDER_ROUTING_ADMISSION_H_
#define POLLENRUDDER_ROUTING_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/boot_clock.h"
#include "routing/admission_request.h"

namespace pollenrudder {

// The result of admission for one request.
enum class AdmissionResult {
  // The request holds a slot. Send it, and report its end with Finished().
  kAdmitted,
  // The request is queued; Next() returns its ticket with a final result later.
  kQueued,
  // Refused: the queue is full, or has no capacity left for this flow.
  kQueueFull,
  // Refused: the estimated wait exceeds the time to the deadline.
  kWaitTooLong,
  // Refused: the deadline has passed.
  kDeadlinePassed,
  // Refused: Close() was called.
  kClosed,
};

// How a request that held a slot ended.
enum class SlotResult {
  // A response; its duration is a sample for the estimated wait.
  kAnswered,
  // The upstream refused the request without running it. The number of slots is
  // reduced for a short time, since an upstream that sheds load has less
  // capacity than its slots suggest.
  kShed,
  // No response.
  kFailed,
};

// Limits the requests in flight to one upstream by slots, and queues the rest.
// Each request in flight holds one slot:
//   Admission::Decision decision = admission.Submit(request, now);
//   // kAdmitted: send the request, and when it has ended:
//   admission.Finished(request.ticket, SlotResult::kAnswered, now);
//   while (const auto next = admission.Next(now)) ...
//
// Rules:
//   - No more than `slots` requests hold a slot at any time, and no request is
//     sent without one.
//   - A free slot is given immediately if no request is queued, regardless of
//     the estimated wait. Otherwise an estimate that an outage has distorted
//     would never be corrected.
//   - Queued requests are served round-robin by flow, and in order of arrival
//     within a flow. If the queue is full, a request of a flow with fewer
//     queued requests than the largest flow replaces the newest request of the
//     largest flow.
//   - A queued request that can no longer be answered before its deadline is
//     refused, so that it takes no slot.
//   - A suspect request runs in isolation: when its turn comes, no other
//     request starts until the running ones and then the suspect have ended.
//   - After SetCold(), the number of usable slots grows from one to `slots`
//     over `ramp_up`.
class Admission {
 public:
  struct Options {
    std::uint32_t slots = 1;
    std::uint32_t queue_length = 64;
    // Time over which the slots of a cold upstream grow from 1 to `slots`.
    std::chrono::nanoseconds ramp_up = std::chrono::seconds(5);
    // Each shed request makes one slot unavailable; one becomes available again
    // after each interval of this length.
    std::chrono::nanoseconds shed_pause = std::chrono::milliseconds(200);
  };

  struct Decision {
    AdmissionResult result = AdmissionResult::kQueued;
    // The ticket of a queued request that this one has replaced; the result of
    // the replaced request is kQueueFull.
    std::optional<std::uint64_t> displaced;
  };

  struct QueueResult {
    std::uint64_t ticket = 0;
    AdmissionResult result = AdmissionResult::kAdmitted;
  };

  explicit Admission(const Options& options);

  Decision Submit(const AdmissionRequest& request, BootTime now);
  // Returns the next queued request that starts, or that is refused because of
  // its deadline. Call it until it returns nothing, after each Finished(),
  // Cancel() and SetCold() and at the time of NextWakeUp().
  std::optional<QueueResult> Next(BootTime now);
  // Releases a slot. Ignored for a ticket that holds none.
  void Finished(std::uint64_t ticket, SlotResult result, BootTime now);
  // Removes a queued request. Returns false if the ticket is not queued; a
  // request that holds a slot ends with Finished().
  bool Cancel(std::uint64_t ticket);

  // Starts the ramp-up of an upstream that has just started or become reachable
  // again.
  void SetCold(BootTime now);
  // Refuses new requests and returns the tickets of the queued ones. Requests
  // that hold a slot keep it.
  std::vector<std::uint64_t> Close();
  void Open() { closed_ = false; }
  // Applies changed settings.
  void SetLimits(std::uint32_t slots, std::uint32_t queue_length);

  // The time at which Next() may return a result without another call: the
  // deadline of a queued request, or an additional slot of a cold or shedding
  // upstream.
  std::optional<BootTime> NextWakeUp(BootTime now) const;

  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t waiting() const { return waiting_; }
  // The number of usable slots at `now`: fewer than `slots` while the upstream
  // is cold or sheds load.
  std::uint32_t SlotsAt(BootTime now) const;
  std::chrono::nanoseconds mean_service_time() const {
    return mean_service_time_;
  }
  // The estimated wait of a request of `flow` that arrives at `now`.
  std::chrono::nanoseconds EstimatedWait(std::uint64_t flow,
                                         BootTime now) const;

 private:
  // Suspect requests of all flows form one separate flow, which is served in
  // turn with the others.
  struct QueuedRequest {
    AdmissionRequest request;
    BootTime queued_at;
    // The wait estimated from the queue length alone.
    double queue_wait_ns = 0;
  };

  struct Flow {
    std::uint64_t id = 0;
    bool suspects = false;
    std::deque<QueuedRequest> queue;
  };
  using FlowList = std::list<Flow>;

  struct RunningRequest {
    BootTime started;
    bool suspect = false;
  };

  const Flow* FindFlow(std::uint64_t id, bool suspects) const;
  bool CanStart(bool suspect, BootTime now) const;
  void Start(const AdmissionRequest& request, BootTime now);
  // Returns the wait estimated from the queue length alone.
  double EstimateQueueWaitNs(std::uint64_t flow,
                             bool suspects,
                             BootTime now) const;
  // Returns true if a queued request that starts now would miss its deadline.
  bool WouldMissDeadline(const AdmissionRequest& request, BootTime now) const;
  void Enqueue(const AdmissionRequest& request,
               BootTime now,
               double queue_wait_ns);
  void UpdateWaitRatio(const QueuedRequest& queued, BootTime now);
  // Returns the work ahead of a new request of the flow, in mean service times
  // of one slot.
  double ServiceTimesAhead(std::uint64_t flow,
                           bool suspects,
                           BootTime now) const;
  std::uint32_t ShedSlotsAt(BootTime now) const;
  std::optional<std::uint64_t> ReplaceInLargestFlow(std::size_t own_queued);
  std::optional<std::uint64_t> TakeExpired(BootTime now);

  Options options_;
  // In round-robin order. Invariant: no flow is empty, and the sizes of the
  // queues add up to waiting_.
  FlowList flows_;
  std::uint32_t waiting_ = 0;
  // By ticket. Invariant: if a suspect request is running, it is the only
  // entry.
  std::unordered_map<std::uint64_t, RunningRequest> running_;
  std::chrono::nanoseconds mean_service_time_{0};
  // Recent ratio of the actual wait to the wait estimated from the queue
  // length. Above 1 while later requests of other flows are served first.
  double wait_ratio_ = 1;
  std::optional<BootTime> cold_since_;
  // Slots that shed requests had made unavailable at shed_at_; one becomes
  // available again after each shed_pause.
  std::uint32_t shed_slots_ = 0;
  BootTime shed_at_;
  // Not later than the earliest deadline of a queued request.
  BootTime earliest_deadline_ = BootTime::max();
  bool closed_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ADMISSION_H_
