// Slot accounting, queueing by flow and the wait estimate.

#include "routing/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pollenrudder {

namespace {

// Weight of a new sample in the mean service time.
constexpr double kServiceTimeWeight = 0.1;
// Weight of a new sample in the ratio of actual to estimated waits.
constexpr double kWaitRatioWeight = 0.05;
constexpr double kMaxWaitRatio = 8;

}  // namespace

Admission::Admission(const Options& options) : options_(options) {
  assert(options.slots > 0);
}

const Admission::Flow* Admission::FindFlow(std::uint64_t id,
                                           bool suspects) const {
  const auto found =
      std::find_if(flows_.begin(), flows_.end(), [&](const Flow& flow) {
        return flow.suspects == suspects && (suspects || flow.id == id);
      });
  return found == flows_.end() ? nullptr : &*found;
}

std::uint32_t Admission::ShedSlotsAt(BootTime now) const {
  if (shed_slots_ == 0)
    return 0;
  const auto returned = (now - shed_at_) / options_.shed_pause;
  return returned >= shed_slots_
             ? 0
             : shed_slots_ - static_cast<std::uint32_t>(returned);
}

std::uint32_t Admission::SlotsAt(BootTime now) const {
  std::uint32_t slots = options_.slots;
  if (cold_since_ && now < *cold_since_ + options_.ramp_up) {
    const double share =
        std::chrono::duration<double>(now - *cold_since_).count() /
        std::chrono::duration<double>(options_.ramp_up).count();
    slots = 1 + static_cast<std::uint32_t>(share * (options_.slots - 1));
  }
  const std::uint32_t shed = ShedSlotsAt(now);
  return shed >= slots ? 1 : slots - shed;
}

bool Admission::CanStart(bool suspect, BootTime now) const {
  if (suspect)
    return running_.empty();
  if (running_.size() == 1 && running_.begin()->second.suspect)
    return false;
  return running_.size() < SlotsAt(now);
}

void Admission::Start(const AdmissionRequest& request, BootTime now) {
  assert(!running_.contains(request.ticket));
  running_.emplace(request.ticket, RunningRequest{now, request.suspect});
}

double Admission::ServiceTimesAhead(std::uint64_t flow,
                                    bool suspects,
                                    BootTime now) const {
  const Flow* const own = FindFlow(flow, suspects);
  const std::size_t own_queued = own ? own->queue.size() : 0;
  // A suspect request occupies all slots while it runs.
  const double suspect_cost = SlotsAt(now);
  const bool suspect_running =
      running_.size() == 1 && running_.begin()->second.suspect;
  double ahead = suspects || suspect_running ? suspect_cost : 1;
  for (const Flow& other : flows_) {
    // In round-robin order, at most own_queued + 1 requests of each other flow
    // are served before this one.
    const std::size_t requests =
        &other == own ? own_queued
                      : std::min(other.queue.size(), own_queued + 1);
    ahead +=
        static_cast<double>(requests) * (other.suspects ? suspect_cost : 1);
  }
  return ahead;
}

double Admission::EstimateQueueWaitNs(std::uint64_t flow,
                                      bool suspects,
                                      BootTime now) const {
  return ServiceTimesAhead(flow, suspects, now) / SlotsAt(now) *
         static_cast<double>(mean_service_time_.count());
}

std::chrono::nanoseconds Admission::EstimatedWait(std::uint64_t flow,
                                                  BootTime now) const {
  if (waiting_ == 0 && CanStart(false, now))
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      wait_ratio_ * EstimateQueueWaitNs(flow, false, now)));
}

void Admission::UpdateWaitRatio(const QueuedRequest& queued, BootTime now) {
  if (queued.queue_wait_ns <= 0)
    return;
  const double ratio = static_cast<double>((now - queued.queued_at).count()) /
                       queued.queue_wait_ns;
  wait_ratio_ +=
      kWaitRatioWeight * (std::clamp(ratio, 0.0, kMaxWaitRatio) - wait_ratio_);
}

bool Admission::WouldMissDeadline(const AdmissionRequest& request,
                                  BootTime now) const {
  // If no other request is running, this one is started in any case: its
  // duration corrects a wrong mean.
  return !running_.empty() && request.deadline - now < mean_service_time_;
}

Admission::Decision Admission::Submit(const AdmissionRequest& request,
                                      BootTime now) {
  if (closed_)
    return {AdmissionResult::kClosed, std::nullopt};
  if (request.deadline <= now)
    return {AdmissionResult::kDeadlinePassed, std::nullopt};
  if (waiting_ == 0 && CanStart(request.suspect, now)) {
    Start(request, now);
    return {AdmissionResult::kAdmitted, std::nullopt};
  }
  const double queue_wait_ns =
      EstimateQueueWaitNs(request.flow, request.suspect, now);
  // The request must be answered before its deadline, not only started.
  const double needed = std::max(wait_ratio_, 1.0) * queue_wait_ns +
                        static_cast<double>(mean_service_time_.count());
  if (needed > static_cast<double>((request.deadline - now).count()))
    return {AdmissionResult::kWaitTooLong, std::nullopt};
  Decision decision;
  if (waiting_ >= options_.queue_length) {
    const Flow* const own = FindFlow(request.flow, request.suspect);
    decision.displaced = ReplaceInLargestFlow(own ? own->queue.size() : 0);
    if (!decision.displaced)
      return {AdmissionResult::kQueueFull, std::nullopt};
  }
  Enqueue(request, now, queue_wait_ns);
  return decision;
}

void Admission::Enqueue(const AdmissionRequest& request,
                        BootTime now,
                        double queue_wait_ns) {
  auto found =
      std::find_if(flows_.begin(), flows_.end(), [&](const Flow& flow) {
        return flow.suspects == request.suspect &&
               (request.suspect || flow.id == request.flow);
      });
  if (found == flows_.end()) {
    flows_.push_back(Flow{request.flow, request.suspect, {}});
    found = std::prev(flows_.end());
  }
  found->queue.push_back({request, now, queue_wait_ns});
  ++waiting_;
  earliest_deadline_ = std::min(earliest_deadline_, request.deadline);
}

std::optional<std::uint64_t> Admission::ReplaceInLargestFlow(
    std::size_t own_queued) {
  const auto largest = std::max_element(
      flows_.begin(), flows_.end(), [](const Flow& left, const Flow& right) {
        return left.queue.size() < right.queue.size();
      });
  if (largest == flows_.end() || largest->queue.size() <= own_queued + 1)
    return std::nullopt;
  const std::uint64_t ticket = largest->queue.back().request.ticket;
  largest->queue.pop_back();
  --waiting_;
  return ticket;
}

std::optional<std::uint64_t> Admission::TakeExpired(BootTime now) {
  if (now < earliest_deadline_)
    return std::nullopt;
  earliest_deadline_ = BootTime::max();
  std::optional<std::uint64_t> expired;
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    for (auto queued = flow->queue.begin(); queued != flow->queue.end();) {
      if (!expired && queued->request.deadline <= now) {
        expired = queued->request.ticket;
        queued = flow->queue.erase(queued);
        --waiting_;
        continue;
      }
      earliest_deadline_ =
          std::min(earliest_deadline_, queued->request.deadline);
      ++queued;
    }
    flow = flow->queue.empty() ? flows_.erase(flow) : std::next(flow);
  }
  return expired;
}

std::optional<Admission::QueueResult> Admission::Next(BootTime now) {
  if (const auto expired = TakeExpired(now))
    return QueueResult{*expired, AdmissionResult::kDeadlinePassed};
  if (flows_.empty() || !CanStart(flows_.front().suspects, now))
    return std::nullopt;
  const QueuedRequest queued = flows_.front().queue.front();
  flows_.front().queue.pop_front();
  --waiting_;
  if (flows_.front().queue.empty())
    flows_.pop_front();
  else
    flows_.splice(flows_.end(), flows_, flows_.begin());
  UpdateWaitRatio(queued, now);
  if (WouldMissDeadline(queued.request, now))
    return QueueResult{queued.request.ticket, AdmissionResult::kDeadlinePassed};
  Start(queued.request, now);
  return QueueResult{queued.request.ticket, AdmissionResult::kAdmitted};
}

void Admission::Finished(std::uint64_t ticket,
                         SlotResult result,
                         BootTime now) {
  const auto found = running_.find(ticket);
  if (found == running_.end())
    return;
  const std::chrono::nanoseconds duration = now - found->second.started;
  running_.erase(found);
  if (result == SlotResult::kShed) {
    shed_slots_ = std::min(ShedSlotsAt(now) + 1, options_.slots - 1);
    shed_at_ = now;
    return;
  }
  // A fast failure contains no information about the service time. A slow
  // failure shows that slots are released later than the mean predicts.
  if (result == SlotResult::kFailed && duration < mean_service_time_)
    return;
  if (mean_service_time_.count() == 0) {
    mean_service_time_ = duration;
    return;
  }
  const double change =
      kServiceTimeWeight *
      static_cast<double>((duration - mean_service_time_).count());
  mean_service_time_ +=
      std::chrono::nanoseconds(static_cast<std::int64_t>(change));
}

bool Admission::Cancel(std::uint64_t ticket) {
  for (auto flow = flows_.begin(); flow != flows_.end(); ++flow) {
    const auto found = std::find_if(flow->queue.begin(), flow->queue.end(),
                                    [&](const QueuedRequest& queued) {
                                      return queued.request.ticket == ticket;
                                    });
    if (found == flow->queue.end())
      continue;
    flow->queue.erase(found);
    --waiting_;
    if (flow->queue.empty())
      flows_.erase(flow);
    return true;
  }
  return false;
}

void Admission::SetCold(BootTime now) {
  cold_since_ = now;
}

std::vector<std::uint64_t> Admission::Close() {
  closed_ = true;
  std::vector<std::uint64_t> tickets;
  tickets.reserve(waiting_);
  for (const Flow& flow : flows_) {
    for (const QueuedRequest& queued : flow.queue)
      tickets.push_back(queued.request.ticket);
  }
  flows_.clear();
  waiting_ = 0;
  earliest_deadline_ = BootTime::max();
  return tickets;
}

void Admission::SetLimits(std::uint32_t slots, std::uint32_t queue_length) {
  assert(slots > 0);
  options_.slots = slots;
  options_.queue_length = queue_length;
  shed_slots_ = std::min(shed_slots_, slots - 1);
}

std::optional<BootTime> Admission::NextWakeUp(BootTime now) const {
  if (waiting_ == 0)
    return std::nullopt;
  BootTime wake_up = earliest_deadline_;
  if (cold_since_ && now < *cold_since_ + options_.ramp_up) {
    // One step per slot. The added nanoseconds compensate for rounding in
    // SlotsAt().
    const auto step =
        options_.ramp_up / std::max<std::uint32_t>(options_.slots - 1, 1);
    const auto steps = (now - *cold_since_) / step + 1;
    wake_up = std::min(wake_up, *cold_since_ + step * steps +
                                    std::chrono::nanoseconds(options_.slots));
  }
  if (ShedSlotsAt(now) > 0) {
    const auto pauses = (now - shed_at_) / options_.shed_pause + 1;
    wake_up = std::min(wake_up, shed_at_ + options_.shed_pause * pauses);
  }
  return wake_up;
}

}  // namespace pollenrudder
