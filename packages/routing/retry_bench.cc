// Simulation of retries after an outage. Section `retry` of policy_bench.

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

#include "routing/bench_report.h"
#include "routing/retry_budget.h"

namespace pollenrudder {

namespace {

constexpr double kRate = 1000;
constexpr double kCapacity = 1500;
constexpr double kOutageStart = 20;
constexpr double kOutageEnd = 30;
constexpr double kRunSeconds = 90;
constexpr double kDeadlineSeconds = 2;
// Timeout of one attempt.
constexpr double kTimeoutSeconds = 0.5;

BootTime At(double seconds) {
  return BootTime(
      std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
}

struct Attempt {
  double time = 0;
  double arrived = 0;
  std::uint32_t number = 0;

  bool operator<(const Attempt& other) const { return time > other.time; }
};

// Returns the delay before a retry in seconds, or a negative number for no
// retry.
using RetryRule = std::function<double(const Attempt&, double now)>;

struct RetryFigures {
  // Highest attempts/s in one second after the outage, relative to the rate
  // before it.
  double peak_ratio = 0;
  // Mean attempts/s in the ten seconds after the outage, relative to the rate
  // before it.
  double mean_ratio = 0;
  // Attempts/s during the outage, relative to the rate before it.
  double outage_ratio = 0;
  // Seconds from the end of the outage until 99 % of the requests are answered.
  double recovery = 0;
  double answered_share = 0;
};

// Simulates open-loop arrivals at one server with a FIFO queue. Attempts that
// have timed out still use the server, since they are not canceled. During the
// outage, attempts to a `frozen` server time out; otherwise the server refuses
// them immediately.
RetryFigures Simulate(const RetryRule& rule,
                      const std::function<void(double)>& arrival,
                      bool frozen,
                      std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(kRate);
  std::priority_queue<Attempt> attempts;
  std::vector<double> sent(static_cast<std::size_t>(kRunSeconds) + 5, 0);
  std::vector<double> arrived(sent.size(), 0);
  std::vector<double> answered(sent.size(), 0);
  double next_arrival = gap(random);
  double server_free = 0;
  while (next_arrival < kRunSeconds || !attempts.empty()) {
    Attempt attempt;
    if (attempts.empty() || next_arrival < attempts.top().time) {
      if (next_arrival >= kRunSeconds) {
        next_arrival = kRunSeconds * 10;
        continue;
      }
      attempt = {next_arrival, next_arrival, 1};
      arrival(next_arrival);
      ++arrived[static_cast<std::size_t>(attempt.time)];
      next_arrival += gap(random);
    } else {
      attempt = attempts.top();
      attempts.pop();
    }
    const double now = attempt.time;
    if (now < kRunSeconds)
      ++sent[static_cast<std::size_t>(now)];
    const bool down = now >= kOutageStart && now < kOutageEnd;
    double failed_at = now + (frozen ? kTimeoutSeconds : 0.001);
    if (!down) {
      server_free = std::max(server_free, now) + 1 / kCapacity;
      if (server_free - now <= kTimeoutSeconds &&
          server_free - attempt.arrived <= kDeadlineSeconds) {
        ++answered[static_cast<std::size_t>(attempt.arrived)];
        continue;
      }
      failed_at = now + kTimeoutSeconds;
    }
    const double delay = rule(attempt, failed_at);
    const double retry_at = failed_at + delay;
    if (delay >= 0 && retry_at - attempt.arrived < kDeadlineSeconds)
      attempts.push({retry_at, attempt.arrived, attempt.number + 1});
  }
  const auto rate = [&](double from, double to) {
    double sum = 0;
    for (auto second = static_cast<std::size_t>(from);
         second < static_cast<std::size_t>(to); ++second)
      sum += sent[second];
    return sum / (to - from);
  };
  RetryFigures figures;
  const double before = rate(5, kOutageStart);
  const auto end = static_cast<std::size_t>(kOutageEnd);
  for (std::size_t second = end; second < end + 10; ++second)
    figures.peak_ratio = std::max(figures.peak_ratio, sent[second] / before);
  figures.mean_ratio = rate(kOutageEnd, kOutageEnd + 10) / before;
  figures.outage_ratio = rate(kOutageStart, kOutageEnd) / before;
  double arrived_total = 0;
  double answered_total = 0;
  for (std::size_t second = end; second < static_cast<std::size_t>(kRunSeconds);
       ++second) {
    arrived_total += arrived[second];
    answered_total += answered[second];
    if (answered[second] < 0.99 * arrived[second])
      figures.recovery = static_cast<double>(second - end) + 1;
  }
  figures.answered_share = answered_total / arrived_total;
  return figures;
}

struct Option {
  std::string name;
  RetryRule rule;
  std::function<void(double)> arrival;
};

std::vector<Option> Options() {
  const auto nothing = [](double) {};
  std::vector<Option> options;
  options.push_back(
      {"no retries", [](const Attempt&, double) { return -1.0; }, nothing});
  options.push_back({"3 retries at once",
                     [](const Attempt& attempt, double) {
                       return attempt.number <= 3 ? 0.0 : -1.0;
                     },
                     nothing});
  options.push_back({"3 retries, exponential delay from 100 ms, no jitter",
                     [](const Attempt& attempt, double) {
                       return attempt.number <= 3
                                  ? 0.1 * (1 << (attempt.number - 1))
                                  : -1.0;
                     },
                     nothing});
  options.push_back({"until the deadline, 50 ms apart",
                     [](const Attempt&, double) { return 0.05; }, nothing});
  for (const double share : {0.05, 0.10, 0.20, 0.50}) {
    const auto budget =
        std::make_shared<RetryBudget>(RetryBudget::Options{.share = share}, 1);
    options.push_back(
        {"budget " + BenchReport::Number(100 * share, 0) + " %, jitter",
         [budget](const Attempt& attempt, double now) {
           const auto delay = budget->TakeRetry(
               attempt.number, At(now), At(attempt.arrived + kDeadlineSeconds));
           return delay ? std::chrono::duration<double>(*delay).count() : -1.0;
         },
         [budget](double now) { budget->RecordRequest(At(now)); }});
  }
  return options;
}

}  // namespace

void RunRetryBench() {
  BenchReport::Title(
      "Retries: 1000 requests/s, capacity 1500/s, outage of 10 s, timeout "
      "0.5 s, deadline 2 s");
  BenchReport::Header({"outage", "policy",
                       "attempts/s during the outage / before",
                       "worst second after / before", "10 s after / before",
                       "recovered after s", "answered after the outage (%)"});
  for (const bool frozen : {false, true}) {
    for (const Option& option : Options()) {
      const RetryFigures figures =
          Simulate(option.rule, option.arrival, frozen, 7);
      BenchReport::Row({frozen ? "frozen" : "refuses", option.name,
                        BenchReport::Number(figures.outage_ratio, 2),
                        BenchReport::Number(figures.peak_ratio, 2),
                        BenchReport::Number(figures.mean_ratio, 2),
                        figures.recovery >= kRunSeconds - kOutageEnd
                            ? "not within 60"
                            : BenchReport::Number(figures.recovery, 0),
                        BenchReport::Number(100 * figures.answered_share, 1)});
    }
  }
}

}  // namespace pollenrudder
