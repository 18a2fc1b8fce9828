// Cost estimate, ejection, ramp-up and sampling of upstreams.

#include "routing/power_of_two_chooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pollenrudder {

namespace {

// Initial probability with which a sampled cold upstream is accepted.
constexpr double kInitialProbability = 0.05;
// Samples after which a cold upstream is accepted in any case.
constexpr int kMaxSamples = 8;
// Increase of the cost factor per recent failure.
constexpr double kFailurePenalty = 2;
// Without responses, the latency of an upstream decays to the mean over this
// many latency windows, so that an upstream that was slow is tried again.
constexpr double kLatencyDecayWindows = 5;
// Weight of one response in the mean latency over all upstreams.
constexpr double kMeanLatencyWeight = 0.01;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PowerOfTwoChooser::PowerOfTwoChooser(const Options& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

void PowerOfTwoChooser::SetUpstreams(std::vector<UpstreamCandidate> upstreams) {
  // Upstreams of the first list are new to this sender, but not necessarily
  // cold.
  const bool first_list = stats_.empty();
  for (auto& [name, stats] : stats_)
    stats.listed = false;
  candidates_.clear();
  for (UpstreamCandidate& upstream : upstreams) {
    const auto [found, added] = stats_.try_emplace(upstream.name);
    UpstreamStats& stats = found->second;
    stats.listed = true;
    if (added && !first_list)
      new_upstreams_.push_back(&stats);
    int tier = 2;
    if (upstream.zone == options_.zone)
      tier = 0;
    else if (upstream.region == options_.region)
      tier = 1;
    candidates_.push_back({std::move(upstream), tier, &stats});
  }
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.tier < right.tier;
                   });
  // An upstream that is no longer listed is kept until its requests in flight
  // have ended.
  std::erase_if(stats_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
  std::erase_if(new_upstreams_, [&](const UpstreamStats* added) {
    return std::none_of(
        candidates_.begin(), candidates_.end(),
        [&](const Candidate& candidate) { return candidate.stats == added; });
  });
}

double PowerOfTwoChooser::SampleProbability(const UpstreamStats& stats,
                                            BootTime now) const {
  if (!stats.cold_since)
    return 1;
  const double progress =
      Seconds(now - *stats.cold_since) / Seconds(options_.ramp_up);
  return std::clamp(progress, kInitialProbability, 1.0);
}

double PowerOfTwoChooser::Cost(const UpstreamStats& stats, BootTime now) const {
  double latency = mean_latency_;
  if (stats.latency > 0) {
    const double age =
        Seconds(now - stats.latency_updated) /
        (kLatencyDecayWindows * Seconds(options_.latency_window));
    latency += (stats.latency - mean_latency_) * std::exp(-age);
  }
  const double failures =
      stats.failures * std::exp(-Seconds(now - stats.failures_updated) /
                                Seconds(options_.failure_window));
  return (stats.in_flight + 1) * latency * (1 + kFailurePenalty * failures);
}

std::vector<const PowerOfTwoChooser::Candidate*> PowerOfTwoChooser::FindUsable(
    BootTime now,
    std::span<const std::string> tried,
    bool skip_ejected) const {
  std::vector<const Candidate*> usable;
  bool has_capacity = false;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    const Candidate& candidate = candidates_[i];
    if (has_capacity && candidate.tier != candidates_[i - 1].tier)
      break;
    const UpstreamStats& stats = *candidate.stats;
    if (candidate.upstream.leaving)
      continue;
    if (skip_ejected && stats.ejected_until && now < *stats.ejected_until)
      continue;
    if (std::find(tried.begin(), tried.end(), candidate.upstream.name) !=
        tried.end())
      continue;
    usable.push_back(&candidate);
    has_capacity =
        has_capacity || stats.in_flight < options_.spillover_in_flight;
  }
  return usable;
}

const PowerOfTwoChooser::Candidate* PowerOfTwoChooser::Sample(
    std::span<const Candidate* const> usable,
    BootTime now) {
  std::uniform_int_distribution<std::size_t> index(0, usable.size() - 1);
  std::uniform_real_distribution<double> uniform(0, 1);
  const Candidate* sampled = usable[index(random_)];
  for (int attempt = 1; attempt < kMaxSamples; ++attempt) {
    const double probability = SampleProbability(*sampled->stats, now);
    if (probability >= 1 || uniform(random_) < probability)
      break;
    sampled = usable[index(random_)];
  }
  return sampled;
}

const std::string* PowerOfTwoChooser::Choose(
    BootTime now,
    std::span<const std::string> tried) {
  for (UpstreamStats* const stats : std::exchange(new_upstreams_, {}))
    stats->cold_since = now;
  std::vector<const Candidate*> usable = FindUsable(now, tried, true);
  if (usable.empty())
    usable = FindUsable(now, tried, false);
  if (usable.empty() && !tried.empty())
    return Choose(now, {});
  if (usable.empty())
    return nullptr;
  const Candidate* const first = Sample(usable, now);
  const Candidate* second = first;
  for (int attempt = 0; attempt < kMaxSamples && second == first; ++attempt)
    second = Sample(usable, now);
  const double ratio =
      std::pow(Cost(*second->stats, now) / Cost(*first->stats, now),
               options_.cost_exponent);
  std::uniform_real_distribution<double> uniform(0, 1);
  const bool take_second = uniform(random_) * (1 + ratio) < 1;
  return &(take_second ? second : first)->upstream.name;
}

void PowerOfTwoChooser::OnSent(const std::string& upstream, BootTime) {
  const auto found = stats_.find(upstream);
  if (found != stats_.end())
    ++found->second.in_flight;
}

void PowerOfTwoChooser::RecordFailure(UpstreamStats& stats,
                                      bool is_failure,
                                      BootTime now) {
  stats.failures =
      1 + stats.failures * std::exp(-Seconds(now - stats.failures_updated) /
                                    Seconds(options_.failure_window));
  stats.failures_updated = now;
  // A refusal shows that the upstream is running and does not count for
  // ejection.
  if (!is_failure)
    return;
  ++stats.consecutive_failures;
  if (stats.consecutive_failures < options_.failures_to_eject)
    return;
  std::chrono::nanoseconds ejection = options_.base_ejection;
  for (std::uint32_t i = options_.failures_to_eject;
       i < stats.consecutive_failures && ejection < options_.max_ejection; ++i)
    ejection *= 2;
  stats.ejected_until = now + std::min(ejection, options_.max_ejection);
  stats.cold_since = stats.ejected_until;
}

void PowerOfTwoChooser::RecordLatency(UpstreamStats& stats,
                                      std::chrono::nanoseconds duration,
                                      BootTime now) {
  const double sample = Seconds(duration);
  mean_latency_ += kMeanLatencyWeight * (sample - mean_latency_);
  if (stats.latency == 0) {
    stats.latency = sample;
  } else {
    // The longer ago the last sample is, the more weight the new one gets.
    const double weight =
        std::clamp(1 - std::exp(-Seconds(now - stats.latency_updated) /
                                Seconds(options_.latency_window)),
                   0.02, 1.0);
    stats.latency += weight * (sample - stats.latency);
  }
  stats.latency_updated = now;
}

void PowerOfTwoChooser::OnFinished(const std::string& upstream,
                                   SendResult result,
                                   std::chrono::nanoseconds duration,
                                   BootTime now) {
  const auto found = stats_.find(upstream);
  if (found == stats_.end())
    return;
  UpstreamStats& stats = found->second;
  if (stats.in_flight > 0)
    --stats.in_flight;
  switch (result) {
    case SendResult::kAnswered:
      RecordLatency(stats, duration, now);
      stats.consecutive_failures = 0;
      stats.ejected_until.reset();
      break;
    case SendResult::kRefused:
      RecordFailure(stats, false, now);
      break;
    case SendResult::kFailed:
      RecordFailure(stats, true, now);
      break;
    case SendResult::kCanceled:
      break;
  }
  if (!stats.listed && stats.in_flight == 0)
    stats_.erase(found);
}

}  // namespace pollenrudder
