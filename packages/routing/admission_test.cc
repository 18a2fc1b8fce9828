// Tests of admission control.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <set>

#include "routing/admission.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BootTime At(std::int64_t ms) {
  return BootTime(milliseconds(ms));
}

AdmissionRequest Request(std::uint64_t ticket,
                         std::uint64_t flow = 0,
                         std::int64_t deadline = 10000,
                         bool suspect = false) {
  return {ticket, flow, At(deadline), suspect};
}

TEST_CASE("Slots are never exceeded and are released") {
  Admission admission({.slots = 2, .queue_length = 1});
  CHECK(admission.Submit(Request(1), At(0)).result ==
        AdmissionResult::kAdmitted);
  CHECK(admission.Submit(Request(2), At(0)).result ==
        AdmissionResult::kAdmitted);
  CHECK(admission.Submit(Request(3), At(0)).result == AdmissionResult::kQueued);
  CHECK(admission.Submit(Request(4), At(0)).result ==
        AdmissionResult::kQueueFull);
  CHECK(!admission.Next(At(1)));
  admission.Finished(1, SlotResult::kAnswered, At(2));
  admission.Finished(1, SlotResult::kAnswered, At(2));
  const auto next = admission.Next(At(2));
  REQUIRE(next);
  CHECK(next->ticket == 3);
  CHECK(next->result == AdmissionResult::kAdmitted);
  CHECK(admission.in_flight() == 2);
}

TEST_CASE("A request whose wait exceeds its deadline is refused") {
  Admission admission({.slots = 1, .queue_length = 100});
  CHECK(admission.Submit(Request(1), At(0)).result ==
        AdmissionResult::kAdmitted);
  admission.Finished(1, SlotResult::kAnswered, At(100));
  CHECK(admission.Submit(Request(2), At(100)).result ==
        AdmissionResult::kAdmitted);
  // One service time to wait and one to run.
  CHECK(admission.Submit(Request(3, 0, 299), At(100)).result ==
        AdmissionResult::kWaitTooLong);
  CHECK(admission.Submit(Request(4, 0, 300), At(100)).result ==
        AdmissionResult::kQueued);
  CHECK(admission.Submit(Request(5, 0, 100), At(100)).result ==
        AdmissionResult::kDeadlinePassed);
  const auto next = admission.Next(At(300));
  REQUIRE(next);
  CHECK(next->result == AdmissionResult::kDeadlinePassed);
  CHECK(admission.waiting() == 0);
}

// Guards against an estimated wait that refuses all further requests after one
// very slow response.
TEST_CASE("A free slot is given regardless of the estimated wait") {
  Admission admission({.slots = 1});
  CHECK(admission.Submit(Request(1), At(0)).result ==
        AdmissionResult::kAdmitted);
  admission.Finished(1, SlotResult::kAnswered, At(60000));
  CHECK(admission.Submit(Request(2, 0, 60001), At(60000)).result ==
        AdmissionResult::kAdmitted);
}

TEST_CASE("Queued flows are served round-robin and share a full queue") {
  Admission admission({.slots = 1, .queue_length = 4});
  admission.Submit(Request(1, 1), At(0));
  for (std::uint64_t ticket = 2; ticket <= 5; ++ticket)
    admission.Submit(Request(ticket, 1), At(0));
  const auto decision = admission.Submit(Request(6, 2), At(0));
  CHECK(decision.result == AdmissionResult::kQueued);
  CHECK(decision.displaced == 5);
  CHECK(admission.Submit(Request(7, 1), At(0)).result ==
        AdmissionResult::kQueueFull);
  std::vector<std::uint64_t> order;
  std::uint64_t running = 1;
  while (admission.waiting() > 0) {
    admission.Finished(running, SlotResult::kAnswered, At(1));
    running = admission.Next(At(1))->ticket;
    order.push_back(running);
  }
  CHECK(order == std::vector<std::uint64_t>{2, 6, 3, 4});
}

TEST_CASE("A cold upstream and one that sheds use fewer slots") {
  Admission admission({.slots = 5, .ramp_up = seconds(4)});
  admission.SetCold(At(0));
  CHECK(admission.SlotsAt(At(0)) == 1);
  CHECK(admission.SlotsAt(At(2000)) == 3);
  CHECK(admission.SlotsAt(At(4000)) == 5);
  admission.Submit(Request(1), At(5000));
  admission.Finished(1, SlotResult::kShed, At(5000));
  CHECK(admission.SlotsAt(At(5001)) == 4);
  CHECK(admission.SlotsAt(At(5200)) == 5);
}

// Guards against slots that are spent on requests whose callers have timed out
// before the response arrives.
TEST_CASE("A request that cannot be answered in time is not started") {
  Admission admission({.slots = 2});
  admission.Submit(Request(1), At(0));
  admission.Finished(1, SlotResult::kAnswered, At(100));
  admission.Submit(Request(2), At(100));
  admission.Submit(Request(3), At(100));
  CHECK(admission.Submit(Request(4, 0, 300), At(100)).result ==
        AdmissionResult::kQueued);
  admission.Finished(2, SlotResult::kAnswered, At(250));
  const auto next = admission.Next(At(250));
  REQUIRE(next);
  CHECK(next->ticket == 4);
  CHECK(next->result == AdmissionResult::kDeadlinePassed);
  CHECK(admission.in_flight() == 1);
}

// Guards against requests that stay queued although a slot has become usable,
// when no other event calls Next().
TEST_CASE("NextWakeUp covers deadlines and slots of the ramp-up") {
  Admission admission({.slots = 2, .ramp_up = seconds(1)});
  admission.SetCold(At(0));
  admission.Submit(Request(1), At(0));
  admission.Submit(Request(2, 0, 5000), At(0));
  CHECK(!admission.Next(At(0)));
  const auto wake_up = admission.NextWakeUp(At(0));
  REQUIRE(wake_up);
  CHECK(*wake_up >= At(1000));
  CHECK(*wake_up < At(1001));
  CHECK(admission.Next(*wake_up)->ticket == 2);
  admission.Submit(Request(3, 0, 5000), At(1500));
  CHECK(admission.NextWakeUp(At(1500)) == At(5000));
}

TEST_CASE("Close returns the queued requests") {
  Admission admission({.slots = 1});
  admission.Submit(Request(1), At(0));
  admission.Submit(Request(2), At(0));
  CHECK(admission.Close() == std::vector<std::uint64_t>{2});
  CHECK(admission.Submit(Request(3), At(0)).result == AdmissionResult::kClosed);
  CHECK(admission.in_flight() == 1);
  admission.Open();
  CHECK(admission.Submit(Request(4), At(0)).result == AdmissionResult::kQueued);
  CHECK(admission.Cancel(4));
  CHECK(!admission.Cancel(4));
}

// Checks that any order of calls keeps the limits of the upstream and the
// isolation of suspects, and gives every request exactly one final result.
TEST_CASE("Random calls keep the limits and end each request once") {
  rc::prop("random calls", [] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
    Admission admission({.slots = slots, .queue_length = 6});
    std::set<std::uint64_t> waiting;
    std::map<std::uint64_t, bool> running;
    std::set<std::uint64_t> suspects;
    std::int64_t time = 0;
    const auto started = [&](std::uint64_t ticket) {
      running[ticket] = suspects.contains(ticket);
      RC_ASSERT(running.size() <= slots);
      if (running.size() > 1) {
        for (const auto& [other, suspect] : running)
          RC_ASSERT(!suspect);
      }
    };
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 150);
    for (std::uint64_t ticket = 1; ticket <= steps; ++ticket) {
      time += *rc::gen::inRange(0, 30);
      if (*rc::gen::inRange(0, 3) > 0) {
        AdmissionRequest request = Request(ticket, *rc::gen::inRange(0, 3),
                                           time + *rc::gen::inRange(0, 400),
                                           *rc::gen::inRange(0, 5) == 0);
        if (request.suspect)
          suspects.insert(ticket);
        const auto decision = admission.Submit(request, At(time));
        if (decision.result == AdmissionResult::kAdmitted)
          started(ticket);
        else if (decision.result == AdmissionResult::kQueued)
          waiting.insert(ticket);
        if (decision.displaced)
          RC_ASSERT(waiting.erase(*decision.displaced) == 1U);
      } else if (!running.empty()) {
        admission.Finished(running.begin()->first, SlotResult::kAnswered,
                           At(time));
        running.erase(running.begin());
      }
      while (const auto next = admission.Next(At(time))) {
        RC_ASSERT(waiting.erase(next->ticket) == 1U);
        if (next->result == AdmissionResult::kAdmitted)
          started(next->ticket);
      }
      RC_ASSERT(admission.waiting() == waiting.size());
      RC_ASSERT(admission.in_flight() == running.size());
      // No request is queued while the upstream is idle.
      RC_ASSERT(waiting.empty() || !running.empty());
    }
  });
}

}  // namespace
}  // namespace pollenrudder
