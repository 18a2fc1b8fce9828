// Admission.

#include "routing/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pollenrudder {

namespace {

// The weight of a new sample in the mean service time.
constexpr double kSampleWeight = 0.1;
// The weight of a new sample in the ratio of actual to estimated waits.
constexpr double kOvertakingWeight = 0.05;
constexpr double kMaxOvertaking = 8;

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

bool Admission::MayStart(bool suspect, BootTime now) const {
  if (suspect)
    return running_.empty();
  if (running_.size() == 1 && running_.begin()->second.suspect)
    return false;
  return running_.size() < SlotsAt(now);
}

void Admission::Start(const AdmissionRequest& request, BootTime now) {
  assert(!running_.contains(request.ticket));
  running_.emplace(request.ticket, Running{now, request.suspect});
}

double Admission::SlotTimesAhead(std::uint64_t flow,
                                 bool suspects,
                                 BootTime now) const {
  const Flow* const own = FindFlow(flow, suspects);
  const std::size_t own_waiting = own ? own->queue.size() : 0;
  // A suspect takes all slots while it runs.
  const double suspect_cost = SlotsAt(now);
  const bool suspect_running =
      running_.size() == 1 && running_.begin()->second.suspect;
  double ahead = suspects || suspect_running ? suspect_cost : 1;
  for (const Flow& other : flows_) {
    // By turns, each other flow has at most one request more before this one.
    const std::size_t requests =
        &other == own ? own_waiting
                      : std::min(other.queue.size(), own_waiting + 1);
    ahead +=
        static_cast<double>(requests) * (other.suspects ? suspect_cost : 1);
  }
  return ahead;
}

double Admission::WaitByQueue(std::uint64_t flow,
                              bool suspects,
                              BootTime now) const {
  return SlotTimesAhead(flow, suspects, now) / SlotsAt(now) *
         static_cast<double>(mean_service_time_.count());
}

std::chrono::nanoseconds Admission::EstimatedWait(std::uint64_t flow,
                                                  BootTime now) const {
  if (waiting_ == 0 && MayStart(false, now))
    return std::chrono::nanoseconds(0);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(overtaking_ * WaitByQueue(flow, false, now)));
}

void Admission::LearnFromWait(const Waiting& waiting, BootTime now) {
  if (waiting.by_queue <= 0)
    return;
  const double ratio =
      static_cast<double>((now - waiting.since).count()) / waiting.by_queue;
  overtaking_ += kOvertakingWeight *
                 (std::clamp(ratio, 0.0, kMaxOvertaking) - overtaking_);
}

bool Admission::IsHopeless(const AdmissionRequest& request,
                           BootTime now) const {
  // With no other request running, the time of this one corrects the mean.
  return !running_.empty() && request.deadline - now < mean_service_time_;
}

Admission::Decision Admission::Submit(const AdmissionRequest& request,
                                      BootTime now) {
  if (closed_)
    return {AdmissionResult::kClosed, std::nullopt};
  if (request.deadline <= now)
    return {AdmissionResult::kDeadlinePassed, std::nullopt};
  if (waiting_ == 0 && MayStart(request.suspect, now)) {
    Start(request, now);
    return {AdmissionResult::kAdmitted, std::nullopt};
  }
  const double by_queue = WaitByQueue(request.flow, request.suspect, now);
  // The request has to be served within its deadline, not only started.
  const double needed = std::max(overtaking_, 1.0) * by_queue +
                        static_cast<double>(mean_service_time_.count());
  if (needed > static_cast<double>((request.deadline - now).count()))
    return {AdmissionResult::kWaitTooLong, std::nullopt};
  Decision decision;
  if (waiting_ >= options_.queue_length) {
    const Flow* const own = FindFlow(request.flow, request.suspect);
    decision.displaced = Displace(own ? own->queue.size() : 0);
    if (!decision.displaced)
      return {AdmissionResult::kQueueFull, std::nullopt};
  }
  Enqueue(request, now, by_queue);
  return decision;
}

void Admission::Enqueue(const AdmissionRequest& request,
                        BootTime now,
                        double by_queue) {
  auto found =
      std::find_if(flows_.begin(), flows_.end(), [&](const Flow& flow) {
        return flow.suspects == request.suspect &&
               (request.suspect || flow.id == request.flow);
      });
  if (found == flows_.end()) {
    flows_.push_back(Flow{request.flow, request.suspect, {}});
    found = std::prev(flows_.end());
  }
  found->queue.push_back({request, now, by_queue});
  ++waiting_;
  earliest_deadline_ = std::min(earliest_deadline_, request.deadline);
}

std::optional<std::uint64_t> Admission::Displace(std::size_t own_waiting) {
  const auto largest = std::max_element(
      flows_.begin(), flows_.end(), [](const Flow& left, const Flow& right) {
        return left.queue.size() < right.queue.size();
      });
  if (largest == flows_.end() || largest->queue.size() <= own_waiting + 1)
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
    for (auto waiting = flow->queue.begin(); waiting != flow->queue.end();) {
      if (!expired && waiting->request.deadline <= now) {
        expired = waiting->request.ticket;
        waiting = flow->queue.erase(waiting);
        --waiting_;
        continue;
      }
      earliest_deadline_ =
          std::min(earliest_deadline_, waiting->request.deadline);
      ++waiting;
    }
    flow = flow->queue.empty() ? flows_.erase(flow) : std::next(flow);
  }
  return expired;
}

std::optional<Admission::QueueResult> Admission::Next(BootTime now) {
  if (const auto expired = TakeExpired(now))
    return QueueResult{*expired, AdmissionResult::kDeadlinePassed};
  if (flows_.empty() || !MayStart(flows_.front().suspects, now))
    return std::nullopt;
  const Waiting waiting = flows_.front().queue.front();
  flows_.front().queue.pop_front();
  --waiting_;
  if (flows_.front().queue.empty())
    flows_.pop_front();
  else
    flows_.splice(flows_.end(), flows_, flows_.begin());
  LearnFromWait(waiting, now);
  if (IsHopeless(waiting.request, now))
    return QueueResult{waiting.request.ticket,
                       AdmissionResult::kDeadlinePassed};
  Start(waiting.request, now);
  return QueueResult{waiting.request.ticket, AdmissionResult::kAdmitted};
}

void Admission::Finished(std::uint64_t ticket, SlotResult end, BootTime now) {
  const auto found = running_.find(ticket);
  if (found == running_.end())
    return;
  const std::chrono::nanoseconds duration = now - found->second.started;
  running_.erase(found);
  if (end == SlotResult::kShed) {
    shed_slots_ = std::min(ShedSlotsAt(now) + 1, options_.slots - 1);
    shed_at_ = now;
    return;
  }
  // A fast failure says nothing about the service time; a slow one shows that
  // the slots come back later than the mean says.
  if (end == SlotResult::kFailed && duration < mean_service_time_)
    return;
  if (mean_service_time_.count() == 0) {
    mean_service_time_ = duration;
    return;
  }
  const double change =
      kSampleWeight *
      static_cast<double>((duration - mean_service_time_).count());
  mean_service_time_ +=
      std::chrono::nanoseconds(static_cast<std::int64_t>(change));
}

bool Admission::Cancel(std::uint64_t ticket) {
  for (auto flow = flows_.begin(); flow != flows_.end(); ++flow) {
    const auto found = std::find_if(flow->queue.begin(), flow->queue.end(),
                                    [&](const Waiting& waiting) {
                                      return waiting.request.ticket == ticket;
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
    for (const Waiting& waiting : flow.queue)
      tickets.push_back(waiting.request.ticket);
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
    // One step per slot; the extra nanosecond passes the rounding.
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
