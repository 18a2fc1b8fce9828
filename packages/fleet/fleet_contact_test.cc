// Tests of FleetContact.

#include "fleet/fleet_contact.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr auto kListInterval = 1000ms;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(1h + time);
}

// Guards against an instance that has just started and takes upstreams for warm
// that became cold before.
TEST_CASE("Contact begins when both the list and the zones have been read") {
  FleetContact contact(kListInterval);
  CHECK_FALSE(contact.ListAge(At(0ms)));
  CHECK_FALSE(contact.HasLasted(0ms, At(0ms)));
  contact.OnListRead(At(0ms));
  CHECK_FALSE(contact.EvacuationsAge(At(100ms)));
  CHECK_FALSE(contact.HasLasted(0ms, At(100ms)));
  contact.OnEvacuationsRead(At(200ms));
  CHECK(contact.ListAge(At(300ms)) == 300ms);
  CHECK(contact.EvacuationsAge(At(300ms)) == 100ms);
  CHECK(contact.HasLasted(100ms, At(300ms)));
  CHECK_FALSE(contact.HasLasted(101ms, At(300ms)));
}

// Guards against an instance that takes what it knew before a gap for the
// present state, while the gap lasts and after it.
TEST_CASE("A gap ends the contact, which begins anew") {
  FleetContact contact(kListInterval);
  for (auto time = 0ms; time <= 5000ms; time += 500ms) {
    contact.OnListRead(At(time));
    contact.OnEvacuationsRead(At(time));
  }
  const auto last = 5000ms + FleetContact::kMaxEvacuationsAge;
  CHECK(contact.HasLasted(last, At(last)));
  CHECK_FALSE(contact.HasLasted(0ms, At(last + 1ms)));
  contact.OnListRead(At(9000ms));
  contact.OnEvacuationsRead(At(9000ms));
  CHECK(contact.HasLasted(1s, At(10000ms)));
  CHECK_FALSE(contact.HasLasted(3s, At(10000ms)));
}

// Guards against contact that is kept up by reads of the list alone, while
// evacuations go unnoticed, and the other way round.
TEST_CASE("Contact needs both the list and the zones") {
  const bool reads_list = GENERATE(true, false);
  FleetContact contact(kListInterval);
  contact.OnListRead(At(0ms));
  contact.OnEvacuationsRead(At(0ms));
  for (auto time = 500ms; time <= 5000ms; time += 500ms) {
    if (reads_list)
      contact.OnListRead(At(time));
    else
      contact.OnEvacuationsRead(At(time));
  }
  CHECK_FALSE(contact.HasLasted(0ms, At(5000ms)));
}

// Guards against a gap at each single update of the list that is lost.
TEST_CASE("A list that is late by less than an interval leaves no gap") {
  FleetContact contact(kListInterval);
  contact.OnListRead(At(0ms));
  for (auto time = 0ms; time <= 1900ms; time += 500ms)
    contact.OnEvacuationsRead(At(time));
  CHECK(contact.HasLasted(0ms, At(1900ms)));
  CHECK_FALSE(contact.HasLasted(0ms, At(2100ms)));
}

// Guards against an old update that passes for recent knowledge.
TEST_CASE("Older knowledge does not replace newer, nor does it end a gap") {
  FleetContact contact(kListInterval);
  contact.OnListRead(At(5000ms));
  contact.OnEvacuationsRead(At(5000ms));
  contact.OnListRead(At(1000ms));
  contact.OnEvacuationsRead(At(1000ms));
  CHECK(contact.ListAge(At(5000ms)) == 0ms);
  CHECK(contact.EvacuationsAge(At(5000ms)) == 0ms);
  contact.OnListRead(At(6000ms));
  contact.OnEvacuationsRead(At(6000ms));
  CHECK_FALSE(contact.HasLasted(0ms, At(9000ms)));
}

// Guards against a late but complete update that counts as a gap: what it tells
// is continuous.
TEST_CASE("An update that arrives late leaves no gap") {
  FleetContact contact(kListInterval);
  contact.OnListRead(At(0ms));
  contact.OnEvacuationsRead(At(0ms));
  CHECK_FALSE(contact.HasLasted(0ms, At(2500ms)));
  contact.OnListRead(At(1400ms));
  contact.OnEvacuationsRead(At(1400ms));
  CHECK(contact.HasLasted(2s, At(2000ms)));
}

}  // namespace
}  // namespace pollenrudder
