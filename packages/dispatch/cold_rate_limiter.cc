// ColdRateLimiter: one permit an interval, which expires if it is not used.

#include "dispatch/cold_rate_limiter.h"

#include <algorithm>

namespace pollenrudder {
namespace {

using std::chrono::nanoseconds;

// The part of the tolerated rate that is used. The times of the instances are
// random, so that more requests than the mean fall into some seconds: with 0.8,
// a burst at all instances exceeded what an upstream tolerates for a second in
// one of about a thousand simulated cold periods.
constexpr double kUsedShare = 0.6;
}  // namespace

bool ColdRateLimiter::Start(BootTime until,
                            std::uint32_t instances,
                            double phase,
                            BootTime now) {
  if (rate_ <= 0 || until <= now)
    return false;
  const bool is_new = !IsCold(now);
  until_ = std::max(until_, until);
  if (!is_new) {
    SetInstances(instances);
    return false;
  }
  instances_ = std::max(instances, 1U);
  started_at_ = now;
  next_permit_ = now + nanoseconds(static_cast<std::int64_t>(
                           phase * static_cast<double>(Interval().count())));
  return true;
}

void ColdRateLimiter::SetInstances(std::uint32_t instances) {
  // A permit that was granted for fewer instances stays as it is: the instances
  // that are new have their own phases.
  instances_ = std::max(instances, 1U);
}

BootTime ColdRateLimiter::NextPermit(BootTime now) const {
  if (!IsCold(now))
    return now;
  BootTime permit = next_permit_;
  if (now > permit + permit_lifetime_) {
    const auto missed = (now - permit - permit_lifetime_) / Interval() + 1;
    permit += missed * Interval();
  }
  return std::min(std::max(permit, now), until_);
}

void ColdRateLimiter::OnSent(BootTime now) {
  if (IsCold(now))
    next_permit_ = now + Interval();
}

nanoseconds ColdRateLimiter::Interval() const {
  return std::max<nanoseconds>(nanoseconds(static_cast<std::int64_t>(
                                   1e9 * instances_ / (rate_ * kUsedShare))),
                               nanoseconds(1));
}

}  // namespace pollenrudder
