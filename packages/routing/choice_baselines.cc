// Simple upstream choosers for comparison with PowerOfTwoChooser.

#include "routing/choice_baselines.h"

#include <algorithm>
#include <utility>

namespace pollenrudder {

BaselineChooser::BaselineChooser(Rule rule,
                                 std::uint64_t seed,
                                 Reported reported)
    : rule_(rule), reported_(std::move(reported)), random_(seed) {}

void BaselineChooser::SetUpstreams(std::vector<UpstreamCandidate> upstreams) {
  upstreams_ = std::move(upstreams);
  next_ = random_() % std::max<std::size_t>(upstreams_.size(), 1);
}

const std::string* BaselineChooser::Choose(BootTime,
                                           std::span<const std::string> tried) {
  std::vector<const std::string*> usable;
  for (const UpstreamCandidate& upstream : upstreams_) {
    const bool was_tried =
        std::find(tried.begin(), tried.end(), upstream.name) != tried.end();
    if (!upstream.leaving && !was_tried)
      usable.push_back(&upstream.name);
  }
  if (usable.empty())
    return nullptr;
  std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
  switch (rule_) {
    case Rule::kRoundRobin:
      return usable[next_++ % usable.size()];
    case Rule::kRandom:
      break;
    case Rule::kLeastInFlight:
      std::shuffle(usable.begin(), usable.end(), random_);
      return *std::min_element(
          usable.begin(), usable.end(),
          [&](const std::string* left, const std::string* right) {
            return in_flight_[*left] < in_flight_[*right];
          });
    case Rule::kReportedLoad: {
      const std::string* const first = usable[any(random_)];
      const std::string* const second = usable[any(random_)];
      return reported_(*second) < reported_(*first) ? second : first;
    }
  }
  return usable[any(random_)];
}

void BaselineChooser::OnSent(const std::string& upstream, BootTime) {
  ++in_flight_[upstream];
}

void BaselineChooser::OnFinished(const std::string& upstream,
                                 SendResult,
                                 std::chrono::nanoseconds,
                                 BootTime) {
  --in_flight_[upstream];
}

}  // namespace pollenrudder
