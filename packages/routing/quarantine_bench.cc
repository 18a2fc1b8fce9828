// Simulation of the quarantine rules: upstreams lost to one fingerprint, and
// false quarantines. Section `quarantine` of policy_bench.

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "quarantine/quarantine.h"
#include "routing/bench_report.h"

namespace pollenrudder {

namespace {

constexpr int kUpstreams = 8;
constexpr int kSlots = 6;
constexpr int kFingerprints = 2000;
constexpr std::uint64_t kCrashingFingerprint = 1000000;
constexpr char kService[] = "geodata";

enum class Rule { kFirstCrash, kAnySecondCrash, kSecondCrashIsolated };

struct QuarantineFigures {
  double upstreams_lost = 0;
  double max_upstreams_lost = 0;
  // Upstreams lost after the first quarantine has expired.
  double upstreams_lost_later = 0;
  double false_quarantines = 0;
  double refused = 0;
  double suspected = 0;
};

// Simulates 20 minutes in steps of one second. Requests have Zipf-distributed
// fingerprints. Upstreams crash for other reasons every `crash_seconds` on
// average. At minute 5, a rack with three upstreams fails. From minute 8, a
// caller sends a request that crashes its upstream every 5 s; the first one is
// sent to two upstreams at once if `first_sent_twice` is set.
class QuarantineSimulation {
 public:
  QuarantineSimulation(Rule rule,
                       double crash_seconds,
                       bool first_sent_twice,
                       std::uint64_t seed)
      : rule_(rule),
        crash_seconds_(crash_seconds),
        first_sent_twice_(first_sent_twice),
        random_(seed) {
    std::vector<double> weights(kFingerprints);
    for (int i = 0; i < kFingerprints; ++i)
      weights[i] = 1.0 / (i + 1);
    popular_ = std::discrete_distribution<std::uint64_t>(weights.begin(),
                                                         weights.end());
  }

  QuarantineFigures Run() {
    for (int second = 0; second < 1200; ++second) {
      now_ = BootTime(std::chrono::seconds(second + 1));
      AnswerRequests();
      if (std::uniform_real_distribution<double>(0, 1)(random_) <
          1 / crash_seconds_)
        Crash(InFlight());
      if (second == 300) {
        const std::vector<std::vector<std::uint64_t>> rack = {
            InFlight(), InFlight(), InFlight()};
        for (const auto& in_flight : rack)
          Crash(in_flight);
      }
      if (second >= 480 && second % 5 == 0)
        SendCrashingRequest(second == 480 && first_sent_twice_);
    }
    return figures_;
  }

 private:
  // Answers 200 requests in one second. A response clears a suspect; a
  // quarantined request is refused.
  void AnswerRequests() {
    for (int i = 0; i < 200; ++i) {
      const std::uint64_t fingerprint = popular_(random_);
      if (quarantine_.Check(kService, fingerprint, now_) ==
          Quarantine::Mark::kQuarantined)
        ++figures_.refused;
      else
        quarantine_.RecordResponse(kService, fingerprint, now_);
    }
  }

  // Returns the fingerprints in flight on one upstream: a single suspect, or
  // several fingerprints without marks.
  std::vector<std::uint64_t> InFlight() {
    std::vector<std::uint64_t> in_flight;
    while (in_flight.size() < kSlots) {
      const std::uint64_t fingerprint = popular_(random_);
      const auto mark = quarantine_.Check(kService, fingerprint, now_);
      if (mark == Quarantine::Mark::kQuarantined)
        continue;
      if (mark == Quarantine::Mark::kSuspect) {
        if (in_flight.empty())
          return {fingerprint};
        continue;
      }
      in_flight.push_back(fingerprint);
    }
    return in_flight;
  }

  void Crash(const std::vector<std::uint64_t>& in_flight) {
    const bool isolated = in_flight.size() == 1;
    for (const std::uint64_t fingerprint : in_flight) {
      const auto before = quarantine_.Check(kService, fingerprint, now_);
      const bool counts_as_isolated =
          rule_ == Rule::kSecondCrashIsolated ? isolated : true;
      if (rule_ == Rule::kFirstCrash)
        quarantine_.MarkQuarantined(kService, fingerprint, now_);
      else
        quarantine_.RecordCrash(kService, fingerprint, counts_as_isolated,
                                now_);
      const auto after = quarantine_.Check(kService, fingerprint, now_);
      if (after == Quarantine::Mark::kSuspect)
        ++figures_.suspected;
      if (after == Quarantine::Mark::kQuarantined && before != after &&
          fingerprint != kCrashingFingerprint)
        ++figures_.false_quarantines;
    }
  }

  void SendCrashingRequest(bool twice) {
    const auto mark = quarantine_.Check(kService, kCrashingFingerprint, now_);
    if (mark == Quarantine::Mark::kQuarantined)
      return;
    std::vector<std::vector<std::uint64_t>> crashes;
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
      std::vector<std::uint64_t> in_flight;
      if (mark == Quarantine::Mark::kNone) {
        in_flight = InFlight();
        in_flight.resize(std::min<std::size_t>(in_flight.size(), kSlots - 1));
      }
      in_flight.push_back(kCrashingFingerprint);
      crashes.push_back(in_flight);
      if (now_ < BootTime(std::chrono::seconds(480 + 600)))
        ++figures_.upstreams_lost;
      else
        ++figures_.upstreams_lost_later;
    }
    for (const auto& in_flight : crashes)
      Crash(in_flight);
  }

  const Rule rule_;
  const double crash_seconds_;
  const bool first_sent_twice_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::uint64_t> popular_;
  Quarantine quarantine_{Quarantine::Options{}};
  QuarantineFigures figures_;
  BootTime now_;
};

}  // namespace

void RunQuarantineBench() {
  BenchReport::Title(
      "Quarantine: 8 upstreams x 6 slots, 2000 fingerprints (Zipf), 20 min, a "
      "rack of 3 lost at minute 5, a request that crashes upstreams from "
      "minute 8, mean of 50 seeds");
  BenchReport::Header({"other crashes every", "first sent on", "rule",
                       "upstreams lost to the request in 10 min", "worst",
                       "lost to it later", "fingerprints suspected",
                       "false quarantines",
                       "requests refused wrongly of 240,000"});
  const std::vector<std::pair<std::string, Rule>> rules = {
      {"first crash quarantines", Rule::kFirstCrash},
      {"any second crash", Rule::kAnySecondCrash},
      {"second crash alone (chosen)", Rule::kSecondCrashIsolated}};
  constexpr int kSeeds = 50;
  for (const double crash_seconds : {600.0, 30.0}) {
    for (const bool twice : {false, true}) {
      for (const auto& [name, rule] : rules) {
        QuarantineFigures sum;
        for (int seed = 1; seed <= kSeeds; ++seed) {
          const QuarantineFigures figures =
              QuarantineSimulation(rule, crash_seconds, twice, seed).Run();
          sum.upstreams_lost += figures.upstreams_lost / kSeeds;
          sum.upstreams_lost_later += figures.upstreams_lost_later / kSeeds;
          sum.max_upstreams_lost =
              std::max(sum.max_upstreams_lost, figures.upstreams_lost);
          sum.false_quarantines += figures.false_quarantines / kSeeds;
          sum.refused += figures.refused / kSeeds;
          sum.suspected += figures.suspected / kSeeds;
        }
        BenchReport::Row({BenchReport::Number(crash_seconds, 0) + " s",
                          twice ? "2 upstreams at once" : "1 upstream", name,
                          BenchReport::Number(sum.upstreams_lost, 2),
                          BenchReport::Number(sum.max_upstreams_lost, 0),
                          BenchReport::Number(sum.upstreams_lost_later, 2),
                          BenchReport::Number(sum.suspected, 1),
                          BenchReport::Number(sum.false_quarantines, 2),
                          BenchReport::Number(sum.refused, 0)});
      }
    }
  }
}

}  // namespace pollenrudder
