// Admission of requests to one upstream, at its leader.

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

// The closed set of results for a request.
enum class AdmissionResult {
  // The request holds a slot: send it, and report its end with Finished().
  kAdmitted,
  // The request waits; Next() returns its ticket with another result later.
  kQueued,
  // Refused: the queue is full, or has no room for more of this flow.
  kQueueFull,
  // Refused: the estimated wait does not fit within the deadline.
  kWaitTooLong,
  // Refused: the deadline has passed.
  kDeadlinePassed,
  // Refused: Close() was called.
  kClosed,
};

// How a request that held a slot ended.
enum class SlotResult {
  // An answer; its duration is a sample for the estimated wait.
  kAnswered,
  // The upstream refused it before running it. The slots are reduced for a
  // moment, since an upstream that sheds load is fuller than it looks.
  kShed,
  // No answer.
  kFailed,
};

// Holds the slots and the queue of one upstream. Never more requests hold a
// slot than `slots`, and none is sent without one.
//   - An idle slot is given at once, whatever the estimate: otherwise an
//     estimate spoilt by an outage would never be corrected.
//   - Requests that wait are taken in turn by flow, in order within a flow. A
//     full queue makes room for a flow with fewer waiting requests than the
//     largest flow by refusing the newest request of that flow.
//   - A request that waits is refused as soon as it could not be answered in
//     time any more, so that no slot is spent on it.
//   - A suspect request runs alone: when its turn comes, nothing starts until
//     the others have ended and it has run.
//   - After SetCold(), the slots in use grow from one to all over `ramp_up`.
class Admission {
 public:
  struct Options {
    std::uint32_t slots = 1;
    std::uint32_t queue_length = 64;
    // The slots of a cold upstream grow from 1 to `slots` over this time.
    std::chrono::nanoseconds ramp_up = std::chrono::seconds(5);
    // Each shed request takes one slot out of use; one comes back after each
    // pause.
    std::chrono::nanoseconds shed_pause = std::chrono::milliseconds(200);
  };

  struct Decision {
    AdmissionResult result = AdmissionResult::kQueued;
    // A request that lost its place in the queue to this one (kQueueFull).
    std::optional<std::uint64_t> displaced;
  };

  struct QueueResult {
    std::uint64_t ticket = 0;
    AdmissionResult result = AdmissionResult::kAdmitted;
  };

  explicit Admission(const Options& options);

  Decision Submit(const AdmissionRequest& request, BootTime now);
  // Returns the next waiting request that starts, or that is refused because
  // its deadline has passed. Call it until it returns nothing after each
  // Finished(), Cancel() and SetCold(), and at NextWakeUp().
  std::optional<QueueResult> Next(BootTime now);
  // Gives a slot back. Ignored for a ticket that holds none.
  void Finished(std::uint64_t ticket, SlotResult end, BootTime now);
  // Removes a request that waits. Returns false if the ticket does not wait; a
  // request that holds a slot ends with Finished().
  bool Cancel(std::uint64_t ticket);

  // The upstream has just started, or was just reached again.
  void SetCold(BootTime now);
  // Refuses new requests and returns the tickets of those that wait. Requests
  // that hold a slot keep it.
  std::vector<std::uint64_t> Close();
  void Open() { closed_ = false; }
  // Applies changed settings.
  void SetLimits(std::uint32_t slots, std::uint32_t queue_length);

  // The time at which Next() may return something without another call: a
  // deadline of a waiting request, or a further slot of a cold upstream.
  std::optional<BootTime> NextWakeUp(BootTime now) const;

  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t waiting() const { return waiting_; }
  // The slots in use at `now`: fewer than all while cold or shedding.
  std::uint32_t SlotsAt(BootTime now) const;
  std::chrono::nanoseconds mean_service_time() const {
    return mean_service_time_;
  }
  // The wait that a request of `flow` that arrives now would have.
  std::chrono::nanoseconds EstimatedWait(std::uint64_t flow,
                                         BootTime now) const;

 private:
  // Suspects of all flows form one flow of their own, so that they take turns
  // with the others.
  struct Waiting {
    AdmissionRequest request;
    BootTime since;
    // The wait estimated by the requests ahead alone, in nanoseconds.
    double by_queue = 0;
  };

  struct Flow {
    std::uint64_t id = 0;
    bool suspects = false;
    std::deque<Waiting> queue;
  };
  using FlowList = std::list<Flow>;

  struct Running {
    BootTime started;
    bool suspect = false;
  };

  const Flow* FindFlow(std::uint64_t id, bool suspects) const;
  bool MayStart(bool suspect, BootTime now) const;
  void Start(const AdmissionRequest& request, BootTime now);
  // The wait by the requests ahead alone, in nanoseconds.
  double WaitByQueue(std::uint64_t flow, bool suspects, BootTime now) const;
  // True if a waiting request would start too late to be answered in time.
  bool IsHopeless(const AdmissionRequest& request, BootTime now) const;
  void Enqueue(const AdmissionRequest& request, BootTime now, double by_queue);
  void LearnFromWait(const Waiting& waiting, BootTime now);
  // The slot times that a new request of the flow waits for.
  double SlotTimesAhead(std::uint64_t flow, bool suspects, BootTime now) const;
  std::uint32_t ShedSlotsAt(BootTime now) const;
  std::optional<std::uint64_t> Displace(std::size_t own_waiting);
  std::optional<std::uint64_t> TakeExpired(BootTime now);

  Options options_;
  // In the order of their turns. Invariant: no flow is empty, and the sum of
  // the queues is waiting_.
  FlowList flows_;
  std::uint32_t waiting_ = 0;
  // By ticket. Invariant: if one entry is a suspect, it is the only one.
  std::unordered_map<std::uint64_t, Running> running_;
  std::chrono::nanoseconds mean_service_time_{0};
  // Actual wait / wait by the queue, recently. Above 1 while requests of other
  // flows that arrive later take their turns first.
  double overtaking_ = 1;
  std::optional<BootTime> cold_since_;
  // Slots taken out of use by shed requests at shed_at_; one comes back after
  // each shed_pause.
  std::uint32_t shed_slots_ = 0;
  BootTime shed_at_;
  // At or before the earliest deadline of a waiting request.
  BootTime earliest_deadline_ = BootTime::max();
  bool closed_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ADMISSION_H_
