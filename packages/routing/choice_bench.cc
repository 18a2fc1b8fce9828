// Simulation of upstream selection, for one set of upstreams. Section `choice`
// of policy_bench.

#include <algorithm>
#include <memory>
#include <queue>
#include <random>

#include "routing/bench_report.h"
#include "routing/choice_baselines.h"
#include "routing/power_of_two_chooser.h"

namespace pollenrudder {

namespace {

constexpr int kUpstreams = 8;
constexpr int kSlots = 6;
constexpr int kSenders = 10;
constexpr double kServiceSeconds = 0.005;
constexpr double kUtilization = 0.6;
constexpr double kRunSeconds = 40;
// Start of the disturbance of the scenario, and of the measurement.
constexpr double kDisturbanceSeconds = 10;
constexpr double kDeadlineSeconds = 2;

enum class Scenario { kEqual, kSlow, kFalseReport, kCold, kShedding, kFailing };

enum class EventKind { kArrival, kDone, kReport };

struct Event {
  double time = 0;
  EventKind kind = EventKind::kArrival;
  std::size_t request = 0;

  bool operator<(const Event& other) const { return time > other.time; }
};

struct Request {
  double arrived = 0;
  double sent = 0;
  int sender = 0;
  int upstream = 0;
  std::vector<std::string> tried;
};

struct Upstream {
  int busy = 0;
  std::queue<std::size_t> waiting;
  double reported = 0;
};

BootTime At(double seconds) {
  return BootTime(
      std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
}

// Simulates senders, each with its own chooser, and upstreams with slots and a
// queue. A request that is refused or fails is sent once more, to another
// upstream.
class ChoiceSimulation {
 public:
  using MakeChooser = std::function<std::unique_ptr<UpstreamChooser>(
      std::uint64_t seed,
      BaselineChooser::Reported reported)>;

  ChoiceSimulation(Scenario scenario,
                   const MakeChooser& make_chooser,
                   std::uint64_t seed)
      : scenario_(scenario), random_(seed), upstreams_(kUpstreams) {
    choosers_.reserve(kSenders);
    const auto reported = [this](const std::string& name) {
      return upstreams_[IndexOf(name)].reported;
    };
    for (int sender = 0; sender < kSenders; ++sender)
      choosers_.push_back(make_chooser(seed * 100 + sender, reported));
    ListUpstreams(scenario == Scenario::kCold ? kUpstreams - 1 : kUpstreams);
  }

  void Run() {
    Schedule(0, EventKind::kArrival, 0);
    Schedule(0, EventKind::kReport, 0);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      if (scenario_ == Scenario::kCold && !joined_ &&
          now_ >= kDisturbanceSeconds) {
        joined_ = true;
        ListUpstreams(kUpstreams);
      }
      Handle(event);
    }
  }

  // Latencies in ms of requests that arrived after the disturbance and were
  // answered.
  std::vector<double>& latencies() { return latencies_; }
  double lost_share() const { return lost_ / std::max(1.0, measured_); }
  double resent_share() const { return resent_ / std::max(1.0, measured_); }

 private:
  static std::size_t IndexOf(const std::string& name) {
    return std::stoul(name.substr(1));
  }

  void ListUpstreams(int count) {
    std::vector<UpstreamCandidate> list;
    list.reserve(count);
    for (int i = 0; i < count; ++i)
      list.push_back({"u" + std::to_string(i), "zone", "region", false});
    for (auto& chooser : choosers_)
      chooser->SetUpstreams(list);
  }

  void Schedule(double time, EventKind kind, std::size_t request) {
    events_.push({time, kind, request});
  }

  double Random(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  bool Disturbed(int upstream) const {
    return upstream == kUpstreams - 1 && now_ >= kDisturbanceSeconds;
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case EventKind::kArrival: {
        if (now_ >= kRunSeconds)
          return;
        const double rate =
            kUtilization * kUpstreams * kSlots / kServiceSeconds;
        Schedule(now_ + Random(1 / rate), EventKind::kArrival, 0);
        requests_.push_back({});
        requests_.back().arrived = now_;
        requests_.back().sender = static_cast<int>(random_() % kSenders);
        if (now_ >= kDisturbanceSeconds)
          ++measured_;
        Send(requests_.size() - 1);
        return;
      }
      case EventKind::kDone:
        Done(event.request);
        return;
      case EventKind::kReport:
        // Reports are outdated: each upstream sends one per second.
        for (int i = 0; i < kUpstreams; ++i) {
          const bool reports_no_load =
              scenario_ == Scenario::kFalseReport && Disturbed(i);
          upstreams_[i].reported =
              reports_no_load
                  ? 0
                  : upstreams_[i].busy +
                        static_cast<double>(upstreams_[i].waiting.size());
        }
        if (now_ < kRunSeconds)
          Schedule(now_ + 1, EventKind::kReport, 0);
        return;
    }
  }

  void Send(std::size_t index) {
    Request& request = requests_[index];
    UpstreamChooser& chooser = *choosers_[request.sender];
    const std::string name = *chooser.Choose(At(now_), request.tried);
    request.upstream = static_cast<int>(IndexOf(name));
    request.sent = now_;
    chooser.OnSent(name, At(now_));
    if (Disturbed(request.upstream)) {
      const bool sheds = scenario_ == Scenario::kShedding && random_() % 10 < 8;
      if (sheds || scenario_ == Scenario::kFailing) {
        Refuse(index, name, sheds ? SendResult::kRefused : SendResult::kFailed);
        return;
      }
    }
    Upstream& upstream = upstreams_[request.upstream];
    if (upstream.busy < kSlots)
      Start(index);
    else
      upstream.waiting.push(index);
  }

  void Refuse(std::size_t index, const std::string& name, SendResult result) {
    Request& request = requests_[index];
    choosers_[request.sender]->OnFinished(
        name, result, std::chrono::microseconds(500), At(now_));
    if (!request.tried.empty()) {
      ++lost_;
      return;
    }
    ++resent_;
    request.tried.push_back(name);
    Send(index);
  }

  void Start(std::size_t index) {
    const int upstream = requests_[index].upstream;
    ++upstreams_[upstream].busy;
    double mean = kServiceSeconds;
    const bool slow =
        scenario_ == Scenario::kSlow || scenario_ == Scenario::kFalseReport ||
        (scenario_ == Scenario::kCold && now_ < kDisturbanceSeconds + 5);
    if (slow && Disturbed(upstream))
      mean *= 10;
    Schedule(now_ + Random(mean), EventKind::kDone, index);
  }

  void Done(std::size_t index) {
    const Request& request = requests_[index];
    const std::string name = "u" + std::to_string(request.upstream);
    const double duration = now_ - request.sent;
    const bool late = now_ - request.arrived > kDeadlineSeconds;
    choosers_[request.sender]->OnFinished(
        name, late ? SendResult::kFailed : SendResult::kAnswered,
        std::chrono::nanoseconds(static_cast<std::int64_t>(duration * 1e9)),
        At(now_));
    if (request.arrived >= kDisturbanceSeconds) {
      if (late)
        ++lost_;
      else
        latencies_.push_back((now_ - request.arrived) * 1000);
    }
    Upstream& upstream = upstreams_[request.upstream];
    --upstream.busy;
    if (upstream.waiting.empty())
      return;
    const std::size_t next = upstream.waiting.front();
    upstream.waiting.pop();
    Start(next);
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<UpstreamChooser>> choosers_;
  std::vector<Upstream> upstreams_;
  std::priority_queue<Event> events_;
  std::vector<Request> requests_;
  std::vector<double> latencies_;
  double now_ = 0;
  double measured_ = 0;
  double lost_ = 0;
  double resent_ = 0;
  bool joined_ = false;
};

double Quantile(std::vector<double>& values, double share) {
  if (values.empty())
    return 0;
  const auto position =
      values.begin() + static_cast<std::ptrdiff_t>(
                           share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

ChoiceSimulation::MakeChooser Baseline(BaselineChooser::Rule rule) {
  return [rule](std::uint64_t seed, BaselineChooser::Reported reported) {
    return std::make_unique<BaselineChooser>(rule, seed, std::move(reported));
  };
}

ChoiceSimulation::MakeChooser PowerOfTwo(double cost_exponent) {
  return [cost_exponent](std::uint64_t seed, const BaselineChooser::Reported&) {
    return std::make_unique<PowerOfTwoChooser>(
        PowerOfTwoChooser::Options{
            .zone = "zone", .region = "region", .cost_exponent = cost_exponent},
        seed);
  };
}

}  // namespace

void RunChoiceBench() {
  BenchReport::Title(
      "Upstream choice: 8 upstreams x 6 slots, mean service time 5 ms, 60 % "
      "load, 10 senders, 30 s of simulated time, 3 seeds");
  BenchReport::Header({"scenario", "policy", "p50 ms", "p99 ms",
                       "sent again (%)", "not answered (%)"});
  using Rule = BaselineChooser::Rule;
  const std::vector<std::pair<std::string, ChoiceSimulation::MakeChooser>>
      policies = {{"round robin", Baseline(Rule::kRoundRobin)},
                  {"random", Baseline(Rule::kRandom)},
                  {"least in flight", Baseline(Rule::kLeastInFlight)},
                  {"reported load, two", Baseline(Rule::kReportedLoad)},
                  {"two choices, power 1", PowerOfTwo(1)},
                  {"two choices, power 2", PowerOfTwo(2)},
                  {"two choices, power 4", PowerOfTwo(4)},
                  {"two choices, better always", PowerOfTwo(1000)}};
  const std::vector<std::pair<std::string, Scenario>> scenarios = {
      {"all equal", Scenario::kEqual},
      {"one 10 x slower", Scenario::kSlow},
      {"slow one reports no load", Scenario::kFalseReport},
      {"one joins, 10 x slower for 5 s", Scenario::kCold},
      {"one sheds 80 %", Scenario::kShedding},
      {"one fails at once", Scenario::kFailing}};
  for (const auto& [scenario_name, scenario] : scenarios) {
    for (const auto& [policy_name, make_chooser] : policies) {
      std::vector<double> latencies;
      double lost = 0;
      double resent = 0;
      constexpr int kSeeds = 3;
      for (int seed = 1; seed <= kSeeds; ++seed) {
        ChoiceSimulation simulation(scenario, make_chooser, seed);
        simulation.Run();
        latencies.insert(latencies.end(), simulation.latencies().begin(),
                         simulation.latencies().end());
        lost += simulation.lost_share() / kSeeds;
        resent += simulation.resent_share() / kSeeds;
      }
      BenchReport::Row({scenario_name, policy_name,
                        BenchReport::Number(Quantile(latencies, 0.5), 1),
                        BenchReport::Number(Quantile(latencies, 0.99), 1),
                        BenchReport::Number(100 * resent, 2),
                        BenchReport::Number(100 * lost, 3)});
    }
  }
}

}  // namespace pollenrudder
