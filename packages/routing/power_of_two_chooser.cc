// PowerOfTwoChooser.

#include "routing/power_of_two_chooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pollenrudder {

namespace {

// Share of the draws that a cold upstream takes part in at first.
constexpr double kColdShare = 0.05;
// Draws before a cold upstream is accepted anyway.
constexpr int kMaxDraws = 8;
// The cost of an upstream is multiplied by 1 + this per recent failure.
constexpr double kFailurePenalty = 2;
// Without answers, a latency returns to the mean over this many windows, so
// that an upstream that was slow is tried again.
constexpr double kForgetWindows = 5;
// The weight of one answer in the mean latency over all upstreams.
constexpr double kMeanWeight = 0.01;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PowerOfTwoChooser::PowerOfTwoChooser(const Options& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

void PowerOfTwoChooser::SetUpstreams(std::vector<UpstreamCandidate> upstreams) {
  // At the start all upstreams are new to this sender, which does not mean
  // that they are cold.
  const bool first_list = observed_.empty();
  for (auto& [name, observed] : observed_)
    observed.listed = false;
  entries_.clear();
  for (UpstreamCandidate& upstream : upstreams) {
    const auto [found, added] = observed_.try_emplace(upstream.name);
    Observed& observed = found->second;
    observed.listed = true;
    if (added && !first_list)
      added_.push_back(&observed);
    int tier = 2;
    if (upstream.zone == options_.zone)
      tier = 0;
    else if (upstream.region == options_.region)
      tier = 1;
    entries_.push_back({std::move(upstream), tier, &observed});
  }
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& left, const Entry& right) {
                     return left.tier < right.tier;
                   });
  // Requests in flight still end on an upstream that has left the list.
  std::erase_if(observed_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
  std::erase_if(added_, [&](const Observed* added) {
    return std::none_of(
        entries_.begin(), entries_.end(),
        [&](const Entry& entry) { return entry.observed == added; });
  });
}

double PowerOfTwoChooser::WarmShare(const Observed& observed,
                                    BootTime now) const {
  if (!observed.cold_since)
    return 1;
  const double share =
      Seconds(now - *observed.cold_since) / Seconds(options_.ramp_up);
  return std::clamp(share, kColdShare, 1.0);
}

double PowerOfTwoChooser::Cost(const Observed& observed, BootTime now) const {
  double latency = mean_latency_;
  if (observed.latency > 0) {
    const double age = Seconds(now - observed.latency_at) /
                       (kForgetWindows * Seconds(options_.latency_window));
    latency += (observed.latency - mean_latency_) * std::exp(-age);
  }
  const double failures =
      observed.failures * std::exp(-Seconds(now - observed.failures_at) /
                                   Seconds(options_.failure_window));
  return (observed.in_flight + 1) * latency * (1 + kFailurePenalty * failures);
}

std::vector<const PowerOfTwoChooser::Entry*> PowerOfTwoChooser::Usable(
    BootTime now,
    std::span<const std::string> tried,
    bool skip_paused) const {
  std::vector<const Entry*> usable;
  bool has_room = false;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (has_room && entry.tier != entries_[i - 1].tier)
      break;
    const Observed& observed = *entry.observed;
    if (entry.upstream.leaving)
      continue;
    if (skip_paused && observed.paused_until && now < *observed.paused_until)
      continue;
    if (std::find(tried.begin(), tried.end(), entry.upstream.name) !=
        tried.end())
      continue;
    usable.push_back(&entry);
    has_room = has_room || observed.in_flight < options_.spillover_in_flight;
  }
  return usable;
}

const PowerOfTwoChooser::Entry* PowerOfTwoChooser::Draw(
    std::span<const Entry* const> usable,
    BootTime now) {
  std::uniform_int_distribution<std::size_t> index(0, usable.size() - 1);
  std::uniform_real_distribution<double> share(0, 1);
  const Entry* drawn = usable[index(random_)];
  for (int draw = 1; draw < kMaxDraws; ++draw) {
    const double warm = WarmShare(*drawn->observed, now);
    if (warm >= 1 || share(random_) < warm)
      break;
    drawn = usable[index(random_)];
  }
  return drawn;
}

const std::string* PowerOfTwoChooser::Choose(
    BootTime now,
    std::span<const std::string> tried) {
  for (Observed* const observed : std::exchange(added_, {}))
    observed->cold_since = now;
  std::vector<const Entry*> usable = Usable(now, tried, true);
  if (usable.empty())
    usable = Usable(now, tried, false);
  if (usable.empty() && !tried.empty())
    return Choose(now, {});
  if (usable.empty())
    return nullptr;
  const Entry* const first = Draw(usable, now);
  const Entry* second = first;
  for (int draw = 0; draw < kMaxDraws && second == first; ++draw)
    second = Draw(usable, now);
  const double ratio =
      std::pow(Cost(*second->observed, now) / Cost(*first->observed, now),
               options_.cost_exponent);
  std::uniform_real_distribution<double> share(0, 1);
  const bool take_second = share(random_) * (1 + ratio) < 1;
  return &(take_second ? second : first)->upstream.name;
}

void PowerOfTwoChooser::OnSent(const std::string& upstream, BootTime) {
  const auto found = observed_.find(upstream);
  if (found != observed_.end())
    ++found->second.in_flight;
}

void PowerOfTwoChooser::RecordFailure(Observed& observed,
                                      bool failed,
                                      BootTime now) {
  observed.failures =
      1 + observed.failures * std::exp(-Seconds(now - observed.failures_at) /
                                       Seconds(options_.failure_window));
  observed.failures_at = now;
  // A refusal is an answer: the upstream is not lost.
  if (!failed)
    return;
  ++observed.consecutive_failures;
  if (observed.consecutive_failures < options_.failures_to_eject)
    return;
  std::chrono::nanoseconds pause = options_.base_ejection;
  for (std::uint32_t i = options_.failures_to_eject;
       i < observed.consecutive_failures && pause < options_.max_ejection; ++i)
    pause *= 2;
  observed.paused_until = now + std::min(pause, options_.max_ejection);
  observed.cold_since = observed.paused_until;
}

void PowerOfTwoChooser::RecordLatency(Observed& observed,
                                      std::chrono::nanoseconds duration,
                                      BootTime now) {
  const double sample = Seconds(duration);
  mean_latency_ += kMeanWeight * (sample - mean_latency_);
  if (observed.latency == 0) {
    observed.latency = sample;
  } else {
    // A sample weighs more the longer ago the last one is.
    const double weight =
        std::clamp(1 - std::exp(-Seconds(now - observed.latency_at) /
                                Seconds(options_.latency_window)),
                   0.02, 1.0);
    observed.latency += weight * (sample - observed.latency);
  }
  observed.latency_at = now;
}

void PowerOfTwoChooser::OnFinished(const std::string& upstream,
                                   SendResult end,
                                   std::chrono::nanoseconds duration,
                                   BootTime now) {
  const auto found = observed_.find(upstream);
  if (found == observed_.end())
    return;
  Observed& observed = found->second;
  if (observed.in_flight > 0)
    --observed.in_flight;
  switch (end) {
    case SendResult::kAnswered:
      RecordLatency(observed, duration, now);
      observed.consecutive_failures = 0;
      observed.paused_until.reset();
      break;
    case SendResult::kRefused:
      RecordFailure(observed, false, now);
      break;
    case SendResult::kFailed:
      RecordFailure(observed, true, now);
      break;
    case SendResult::kCancelled:
      break;
  }
  if (!observed.listed && observed.in_flight == 0)
    observed_.erase(found);
}

}  // namespace pollenrudder
