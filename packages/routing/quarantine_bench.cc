// policy_bench: upstreams lost to one fingerprint and false quarantines, by
// rule, in simulated time.

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include "routing/bench_report.h"
#include "routing/quarantine.h"

namespace pollenrudder {

namespace {

constexpr int kUpstreams = 8;
constexpr int kSlots = 6;
constexpr int kFingerprints = 2000;
constexpr std::uint64_t kPoison = 1000000;
constexpr char kService[] = "geodata";

enum class Rule { kFirstCrash, kAnySecondCrash, kSecondCrashAlone };

struct QuarantineFigures {
  double lost_to_poison = 0;
  double lost_to_poison_worst = 0;
  // After the quarantine has ended.
  double lost_later = 0;
  double false_quarantines = 0;
  double refused = 0;
  double suspected = 0;
};

// Twenty minutes in steps of a second. Requests have Zipf-distributed
// fingerprints. Upstreams crash by themselves every `crash_seconds`; a rack
// with three of them is lost at minute 5; from minute 8 a caller sends a
// request that crashes upstreams every 5 s, at first on two upstreams at once
// if `poison_twice`.
class QuarantineSimulation {
 public:
  QuarantineSimulation(Rule rule,
                       double crash_seconds,
                       bool poison_twice,
                       std::uint64_t seed)
      : rule_(rule),
        crash_seconds_(crash_seconds),
        poison_twice_(poison_twice),
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
        SendPoison(second == 480 && poison_twice_);
    }
    return figures_;
  }

 private:
  // 200 requests answered per second; a request with a mark is cleared by its
  // answer or refused.
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

  // The fingerprints in flight on one upstream: one suspect alone, or several
  // without marks.
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
    const bool alone = in_flight.size() == 1;
    for (const std::uint64_t fingerprint : in_flight) {
      const auto before = quarantine_.Check(kService, fingerprint, now_);
      const bool counts_alone = rule_ == Rule::kSecondCrashAlone ? alone : true;
      if (rule_ == Rule::kFirstCrash)
        quarantine_.MarkQuarantined(kService, fingerprint, now_);
      else
        quarantine_.RecordCrash(kService, fingerprint, counts_alone, now_);
      const auto after = quarantine_.Check(kService, fingerprint, now_);
      if (after == Quarantine::Mark::kSuspect)
        ++figures_.suspected;
      if (after == Quarantine::Mark::kQuarantined && before != after &&
          fingerprint != kPoison)
        ++figures_.false_quarantines;
    }
  }

  void SendPoison(bool twice) {
    const auto mark = quarantine_.Check(kService, kPoison, now_);
    if (mark == Quarantine::Mark::kQuarantined)
      return;
    std::vector<std::vector<std::uint64_t>> crashes;
    for (int i = 0; i < (twice ? 2 : 1); ++i) {
      std::vector<std::uint64_t> in_flight;
      if (mark == Quarantine::Mark::kNone) {
        in_flight = InFlight();
        in_flight.resize(std::min<std::size_t>(in_flight.size(), kSlots - 1));
      }
      in_flight.push_back(kPoison);
      crashes.push_back(in_flight);
      if (now_ < BootTime(std::chrono::seconds(480 + 600)))
        ++figures_.lost_to_poison;
      else
        ++figures_.lost_later;
    }
    for (const auto& in_flight : crashes)
      Crash(in_flight);
  }

  const Rule rule_;
  const double crash_seconds_;
  const bool poison_twice_;
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
  BenchReport::Head({"other crashes every", "first sent on", "rule",
                     "upstreams lost to the request in 10 min", "worst",
                     "lost to it later", "fingerprints suspected",
                     "false quarantines",
                     "requests refused wrongly of 240,000"});
  const std::vector<std::pair<std::string, Rule>> rules = {
      {"first crash quarantines", Rule::kFirstCrash},
      {"any second crash", Rule::kAnySecondCrash},
      {"second crash alone (chosen)", Rule::kSecondCrashAlone}};
  constexpr int kSeeds = 50;
  for (const double crash_seconds : {600.0, 30.0}) {
    for (const bool twice : {false, true}) {
      for (const auto& [name, rule] : rules) {
        QuarantineFigures sum;
        for (int seed = 1; seed <= kSeeds; ++seed) {
          const QuarantineFigures figures =
              QuarantineSimulation(rule, crash_seconds, twice, seed).Run();
          sum.lost_to_poison += figures.lost_to_poison / kSeeds;
          sum.lost_later += figures.lost_later / kSeeds;
          sum.lost_to_poison_worst =
              std::max(sum.lost_to_poison_worst, figures.lost_to_poison);
          sum.false_quarantines += figures.false_quarantines / kSeeds;
          sum.refused += figures.refused / kSeeds;
          sum.suspected += figures.suspected / kSeeds;
        }
        BenchReport::Row({BenchReport::Number(crash_seconds, 0) + " s",
                          twice ? "2 upstreams at once" : "1 upstream", name,
                          BenchReport::Number(sum.lost_to_poison, 2),
                          BenchReport::Number(sum.lost_to_poison_worst, 0),
                          BenchReport::Number(sum.lost_later, 2),
                          BenchReport::Number(sum.suspected, 1),
                          BenchReport::Number(sum.false_quarantines, 2),
                          BenchReport::Number(sum.refused, 0)});
      }
    }
  }
}

}  // namespace pollenrudder
