// FleetContact: two times of knowledge, and the end of the last gap of each.

#include "fleet/fleet_contact.h"

#include <algorithm>

namespace pollenrudder {
namespace {

using std::chrono::nanoseconds;

// An update that is lost or late by this much leaves no gap: an instance reads
// the list itself before this time is over.
constexpr std::chrono::milliseconds kMaxListLateness{1000};

}  // namespace

FleetContact::FleetContact(nanoseconds list_interval)
    : list_{list_interval + kMaxListLateness, {}},
      evacuations_{kMaxEvacuationsAge, {}} {}

void FleetContact::Source::Advance(BootTime time) {
  if (as_of && time <= *as_of)
    return;
  if (!as_of || time - *as_of > max_age)
    since = time;
  as_of = time;
}

std::optional<nanoseconds> FleetContact::Source::Age(BootTime now) const {
  if (!as_of)
    return std::nullopt;
  return std::max(now - *as_of, nanoseconds(0));
}

bool FleetContact::Source::HasLasted(nanoseconds period, BootTime now) const {
  return as_of && now - *as_of <= max_age && now - since >= period;
}

}  // namespace pollenrudder
