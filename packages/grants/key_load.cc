// KeyLoad: samples of keys, and the mean service time of each upstream.

#include "grants/key_load.h"

#include <algorithm>
#include <cmath>

namespace pollenrudder {
namespace {

// Time constant with which the service time follows a change of an upstream's
// speed.
constexpr std::chrono::duration<double> kServiceTimeDecay{3.0};
// Responses needed before an upstream's own service time is used.
constexpr double kMinResponses = 4;
// Service time of a request before any response is known.
constexpr std::chrono::duration<double> kDefaultServiceTime{0.1};

double Total(const std::map<std::string, std::uint32_t>& parts) {
  double sum = 0;
  for (const auto& [instance, count] : parts)
    sum += count;
  return sum;
}

}  // namespace

void KeyLoad::SetSlots(const std::string& upstream, std::uint32_t slots) {
  upstreams_[upstream].slots = std::max<std::uint32_t>(slots, 1);
}

void KeyLoad::Add(const std::string& instance,
                  const ServiceLoad& load,
                  BootTime now) {
  if (first_report_ == BootTime{})
    first_report_ = now;
  for (const KeyNumber key : load.keys)
    samples_.push_back({now, key});
  for (const auto& [name, share] : load.upstreams) {
    Upstream& upstream = upstreams_[name];
    Decay(upstream, now);
    upstream.outstanding_by_instance[instance] = share.outstanding;
    upstream.answered += share.answered;
  }
}

void KeyLoad::Decay(Upstream& upstream, BootTime now) {
  if (upstream.updated == BootTime{})
    upstream.updated = now;
  const std::chrono::duration<double> passed = now - upstream.updated;
  upstream.updated = now;
  const double busy =
      std::min<double>(upstream.slots, Total(upstream.outstanding_by_instance));
  const double decay = std::exp(-passed / kServiceTimeDecay);
  upstream.busy_seconds = upstream.busy_seconds * decay + busy * passed.count();
  upstream.answered *= decay;
}

std::vector<KeyNumber> KeyLoad::SortedKeys(BootTime now) {
  while (!samples_.empty() && now - samples_.front().time > kWindow)
    samples_.pop_front();
  std::vector<KeyNumber> keys;
  keys.reserve(samples_.size());
  for (const Sample& sample : samples_)
    keys.push_back(sample.key);
  std::ranges::sort(keys);
  return keys;
}

std::chrono::duration<double> KeyLoad::SampledDuration(BootTime now) const {
  constexpr std::chrono::duration<double> kMinDuration{0.2};
  const std::chrono::duration<double> covered = now - first_report_;
  return std::clamp(covered, kMinDuration,
                    std::chrono::duration<double>(kWindow));
}

std::chrono::duration<double> KeyLoad::ServiceTimeOf(
    std::string_view name) const {
  const auto at = upstreams_.find(name);
  if (at != upstreams_.end() && at->second.answered >= kMinResponses) {
    return std::chrono::duration<double>(at->second.busy_seconds /
                                         at->second.answered);
  }
  double busy = 0;
  double answered = 0;
  for (const auto& [upstream, load] : upstreams_) {
    busy += load.busy_seconds;
    answered += load.answered;
  }
  if (answered < kMinResponses || busy <= 0)
    return kDefaultServiceTime;
  return std::chrono::duration<double>(busy / answered);
}

double KeyLoad::OutstandingAt(std::string_view name) const {
  const auto at = upstreams_.find(name);
  return at == upstreams_.end() ? 0 : Total(at->second.outstanding_by_instance);
}

}  // namespace pollenrudder
