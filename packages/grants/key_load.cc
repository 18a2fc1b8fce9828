// KeyLoad: samples of keys, and slot time per answer of each upstream.

#include "grants/key_load.h"

#include <algorithm>
#include <cmath>

namespace pollenrudder {
namespace {

// The estimate of work follows a change of an upstream's speed within this.
constexpr std::chrono::duration<double> kWorkMemory{3.0};
// Answers needed before an upstream's own estimate is used.
constexpr double kMinAnswers = 4;
// Work of a request before any answer is known.
constexpr std::chrono::duration<double> kDefaultWork{0.1};

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
  const double kept = std::exp(-passed / kWorkMemory);
  upstream.busy_seconds = upstream.busy_seconds * kept + busy * passed.count();
  upstream.answered *= kept;
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
  constexpr std::chrono::duration<double> kShortest{0.2};
  const std::chrono::duration<double> known = now - first_report_;
  return std::clamp(known, kShortest, std::chrono::duration<double>(kWindow));
}

std::chrono::duration<double> KeyLoad::ServiceTimeOf(
    std::string_view name) const {
  const auto at = upstreams_.find(name);
  if (at != upstreams_.end() && at->second.answered >= kMinAnswers) {
    return std::chrono::duration<double>(at->second.busy_seconds /
                                         at->second.answered);
  }
  double busy = 0;
  double answered = 0;
  for (const auto& [upstream, load] : upstreams_) {
    busy += load.busy_seconds;
    answered += load.answered;
  }
  if (answered < kMinAnswers || busy <= 0)
    return kDefaultWork;
  return std::chrono::duration<double>(busy / answered);
}

double KeyLoad::OutstandingAt(std::string_view name) const {
  const auto at = upstreams_.find(name);
  return at == upstreams_.end() ? 0 : Total(at->second.outstanding_by_instance);
}

}  // namespace pollenrudder
