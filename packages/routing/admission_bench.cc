// Simulation of admission control at one upstream. Section `admission` of
// policy_bench.

#include <algorithm>
#include <map>
#include <queue>
#include <random>

#include "routing/admission.h"
#include "routing/bench_report.h"

namespace pollenrudder {

namespace {

constexpr std::uint32_t kSlots = 6;
constexpr double kServiceSeconds = 0.01;
constexpr double kDeadlineSeconds = 0.2;
constexpr double kRunSeconds = 60;
constexpr std::uint64_t kHeavyFlow = 0;
constexpr std::uint64_t kFlows = 10;

BootTime At(double seconds) {
  return BootTime(
      std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
}

struct AdmissionOption {
  std::string name;
  std::uint32_t queue_length = 64;
  // All requests are in one flow and served in order of arrival.
  bool one_flow = false;
  // If false, the deadline used for the estimate is too far away to matter.
  bool estimate = true;
};

struct AdmissionFigures {
  double answered_share = 0;
  // The share of the admitted requests that ended after their deadline, or were
  // removed from the queue because of it.
  double late_share = 0;
  double p50 = 0;
  double p99 = 0;
  // The share of the requests of the nine light flows that were answered in
  // time.
  double light_share = 0;
};

struct PendingRequest {
  double arrived = 0;
  std::uint64_t flow = 0;
};

struct Event {
  double time = 0;
  // 0 for the arrival of a request.
  std::uint64_t ticket = 0;

  bool operator<(const Event& other) const { return time > other.time; }
};

// Simulates one upstream at `load` times its capacity. One flow sends 60 % of
// the requests.
AdmissionFigures Simulate(const AdmissionOption& option,
                          double load,
                          std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Admission admission({.slots = kSlots, .queue_length = option.queue_length});
  std::exponential_distribution<double> service(1 / kServiceSeconds);
  std::exponential_distribution<double> gap(load * kSlots / kServiceSeconds);
  std::map<std::uint64_t, PendingRequest> pending;
  std::priority_queue<Event> events;
  std::vector<double> latencies;
  std::uint64_t tickets = 0;
  double admitted = 0;
  double late = 0;
  double light = 0;
  double light_answered = 0;
  events.push({0, 0});
  while (!events.empty()) {
    const Event event = events.top();
    const double now = event.time;
    events.pop();
    if (event.ticket == 0) {
      if (now >= kRunSeconds)
        continue;
      events.push({now + gap(random), 0});
      const std::uint64_t flow =
          random() % 10 < 6 ? kHeavyFlow : 1 + random() % (kFlows - 1);
      light += flow != kHeavyFlow;
      const std::uint64_t ticket = ++tickets;
      const double deadline = option.estimate ? kDeadlineSeconds : 3600;
      const Admission::Decision decision = admission.Submit(
          {ticket, option.one_flow ? 0 : flow, At(now + deadline), false},
          At(now));
      if (decision.displaced) {
        pending.erase(*decision.displaced);
        --admitted;
      }
      if (decision.result == AdmissionResult::kAdmitted)
        events.push({now + service(random), ticket});
      if (decision.result == AdmissionResult::kAdmitted ||
          decision.result == AdmissionResult::kQueued) {
        pending[ticket] = {now, flow};
        ++admitted;
      }
    } else {
      const PendingRequest done = pending[event.ticket];
      pending.erase(event.ticket);
      admission.Finished(event.ticket, SlotResult::kAnswered, At(now));
      if (now - done.arrived > kDeadlineSeconds) {
        ++late;
      } else {
        latencies.push_back((now - done.arrived) * 1000);
        light_answered += done.flow != kHeavyFlow;
      }
    }
    while (const auto next = admission.Next(At(now))) {
      if (next->result == AdmissionResult::kAdmitted) {
        events.push({now + service(random), next->ticket});
      } else {
        pending.erase(next->ticket);
        ++late;
      }
    }
  }
  std::sort(latencies.begin(), latencies.end());
  const auto at = [&](double share) {
    return latencies[static_cast<std::size_t>(
        share * static_cast<double>(latencies.size() - 1))];
  };
  AdmissionFigures figures;
  figures.answered_share =
      static_cast<double>(latencies.size()) / static_cast<double>(tickets);
  figures.late_share = late / admitted;
  figures.p50 = at(0.5);
  figures.p99 = at(0.99);
  figures.light_share = light_answered / light;
  return figures;
}

}  // namespace

void RunAdmissionBench() {
  BenchReport::Title(
      "Admission: one upstream, 6 slots, mean service time 10 ms, deadline "
      "200 ms, one flow sends 60 % and nine share the rest, 60 s of simulated "
      "time");
  BenchReport::Header({"load", "option", "answered in time (%)",
                       "admitted but late (%)", "p50 ms", "p99 ms",
                       "modest flows answered (%)"});
  const std::vector<AdmissionOption> options = {
      {"queue 1000, no estimate, in order", 1000, true, false},
      {"queue 64, no estimate, in order", 64, true, false},
      {"queue 1000, estimate, in order", 1000, true, true},
      {"queue 64, estimate, in order", 64, true, true},
      {"queue 64, estimate, by flow (chosen)", 64, false, true},
      {"queue 1000, estimate, by flow", 1000, false, true}};
  for (const double load : {0.7, 1.0, 1.5, 3.0}) {
    for (const AdmissionOption& option : options) {
      const AdmissionFigures figures = Simulate(option, load, 11);
      BenchReport::Row({BenchReport::Number(load, 1), option.name,
                        BenchReport::Number(100 * figures.answered_share, 1),
                        BenchReport::Number(100 * figures.late_share, 1),
                        BenchReport::Number(figures.p50, 1),
                        BenchReport::Number(figures.p99, 1),
                        BenchReport::Number(100 * figures.light_share, 1)});
    }
  }
}

}  // namespace pollenrudder
