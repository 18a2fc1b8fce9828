// Tests of Dispatcher. Each names the load pattern that it answers.

#include "dispatch/dispatcher.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

// Keeps the decisions.
class Recorder : public DispatchListener {
 public:
  struct Refusal {
    std::uint64_t id;
    ErrorKind kind;
    std::chrono::nanoseconds retry_after;
  };

  void OnSend(const DispatchRequest& request,
              const ListedUpstream& upstream) override {
    sent.emplace_back(request.id, upstream.name);
  }
  void OnRefuse(const DispatchRequest& request,
                ErrorKind kind,
                std::chrono::nanoseconds retry_after) override {
    refused.push_back({request.id, kind, retry_after});
  }

  int CountTo(const std::string& upstream) const {
    return static_cast<int>(std::ranges::count_if(
        sent, [&](const auto& entry) { return entry.second == upstream; }));
  }

  std::vector<std::pair<std::uint64_t, std::string>> sent;
  std::vector<Refusal> refused;
};

struct Bench {
  explicit Bench(const std::string& zone = "a1")
      : dispatcher({zone,
                    {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}},
                    /*seed=*/1},
                   recorder) {
    plan.services["soil"].max_connections = 100;
  }

  void Add(const std::string& name,
           const std::string& zone,
           std::uint32_t slots = 2) {
    ListedUpstream entry;
    entry.name = name;
    entry.service = "soil";
    entry.zone = zone;
    entry.slots = slots;
    entry.started_at = 1ms;
    fleet.Apply({name, entry}, At(0ms));
    dispatcher.SetFleet(fleet, plan, 4, At(0ms));
  }

  KeyTable AddOwnerOfAllKeys(const std::string& name) {
    plan.services["soil"].owns_keys = true;
    Add(name, "a1", 8);
    KeyAssignment row;
    row.owner = {name, 1ms};
    KeyTable table;
    table.Assign(row);
    return table;
  }

  DispatchRequest Request(std::uint64_t id,
                          BootTime now,
                          std::uint32_t priority = 1) const {
    DispatchRequest request;
    request.id = id;
    request.service = "soil";
    request.priority = priority;
    request.arrived = now;
    request.latency_objective = 300ms;
    request.deadline = now + 1000ms;
    return request;
  }

  void End(const std::string& upstream,
           AttemptResult result,
           milliseconds elapsed,
           BootTime now) {
    DispatchRequest request;
    request.service = "soil";
    request.latency_objective = 300ms;
    dispatcher.OnEnded(request, upstream, result, elapsed, now);
  }

  Recorder recorder;
  Fleet fleet;
  RouterConfiguration plan;
  Dispatcher dispatcher;
};

// Load pattern: calm traffic. Traffic between regions is billed.
TEST_CASE("Dispatcher stays in its region while that has room") {
  Bench bench;
  bench.Add("near", "a1", 4);
  bench.Add("beside", "a2", 4);
  bench.Add("far", "b1", 4);
  for (std::uint64_t id = 1; id <= 8; ++id)
    bench.dispatcher.Submit(bench.Request(id, At(0ms)), At(0ms));
  CHECK(bench.recorder.CountTo("far") == 0);
  CHECK(bench.recorder.CountTo("near") + bench.recorder.CountTo("beside") == 8);
}

// Load pattern: loss of the zone's upstreams. Waiting would use up the aim.
TEST_CASE("Dispatcher leaves its region when staying would be late") {
  Bench bench;
  bench.Add("near", "a1");
  bench.Add("far", "b1");
  for (std::uint64_t id = 1; id <= 3; ++id)
    bench.dispatcher.Submit(bench.Request(id, At(0ms)), At(0ms));
  CHECK(bench.recorder.CountTo("near") == 2);
  CHECK(bench.recorder.CountTo("far") == 0);
  bench.dispatcher.Tick(At(200ms));
  CHECK(bench.recorder.CountTo("far") == 1);
}

// Load pattern: burst. What cannot be answered in time is refused at once, with
// a time to come back; what can is not.
TEST_CASE("Dispatcher refuses at once what cannot be in time") {
  Bench bench;
  bench.Add("only", "a1", 2);
  for (std::uint64_t id = 1; id <= 200; ++id)
    bench.dispatcher.Submit(bench.Request(id, At(0ms)), At(0ms));
  CHECK(bench.recorder.sent.size() == 2);
  CHECK(bench.recorder.refused.size() > 100);
  CHECK(bench.recorder.refused.size() < 190);
  for (const auto& refusal : bench.recorder.refused) {
    CHECK(refusal.kind == ErrorKind::kNotRunOverloaded);
    CHECK(refusal.retry_after >= 100ms);
  }
}

// Load pattern: burst with urgent requests behind others.
TEST_CASE("Dispatcher serves the more urgent request first") {
  Bench bench;
  bench.Add("only", "a1", 2);
  for (std::uint64_t id = 1; id <= 6; ++id)
    bench.dispatcher.Submit(bench.Request(id, At(0ms), 2), At(0ms));
  bench.dispatcher.Submit(bench.Request(7, At(1ms), 0), At(1ms));
  bench.End("only", AttemptResult::kAnswered, 50ms, At(50ms));
  REQUIRE(bench.recorder.sent.size() >= 3);
  CHECK(bench.recorder.sent[2].first == 7);
}

// Load pattern: recovery after an overload. A request whose answer would be
// late does not hold up one that can still be early.
TEST_CASE("Dispatcher prefers answers that can still be early") {
  Bench bench;
  bench.Add("only", "a1", 1);
  bench.dispatcher.Submit(bench.Request(1, At(0ms)), At(0ms));
  bench.dispatcher.Submit(bench.Request(2, At(0ms)), At(0ms));
  bench.dispatcher.Submit(bench.Request(3, At(300ms)), At(300ms));
  bench.End("only", AttemptResult::kAnswered, 310ms, At(310ms));
  REQUIRE(bench.recorder.sent.size() >= 2);
  CHECK(bench.recorder.sent[1].first == 3);
}

// Load pattern: upstreams of different speed. An even share would overload the
// slow one.
TEST_CASE("Dispatcher sends by measured speed") {
  Bench bench;
  bench.Add("quick", "a1", 2);
  bench.Add("slow", "a1", 2);
  struct Open {
    BootTime end;
    std::string upstream;
    milliseconds took;
  };
  std::vector<Open> open;
  std::size_t seen = 0;
  std::uint64_t id = 0;
  for (milliseconds time{0}; time < 10s; time += 5ms) {
    const BootTime now = At(time);
    for (std::size_t index = 0; index < open.size();) {
      if (open[index].end > now) {
        ++index;
        continue;
      }
      const Open done = open[index];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      bench.End(done.upstream, AttemptResult::kAnswered, done.took, now);
    }
    if (time.count() % 40 == 0)
      bench.dispatcher.Submit(bench.Request(++id, now), now);
    bench.dispatcher.Tick(now);
    for (; seen < bench.recorder.sent.size(); ++seen) {
      const std::string upstream = bench.recorder.sent[seen].second;
      const milliseconds took = upstream == "quick" ? 40ms : 120ms;
      open.push_back({now + took, upstream, took});
    }
  }
  CHECK(bench.recorder.refused.empty());
  CHECK(bench.recorder.CountTo("quick") > 2 * bench.recorder.CountTo("slow"));
}

// Load pattern: an upstream that rejects part of its requests while its health
// check is good.
TEST_CASE("Dispatcher avoids an upstream that rejects") {
  Bench bench;
  bench.Add("grey", "a1", 4);
  bench.Add("sound", "a1", 4);
  std::size_t seen = 0;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    const BootTime now = At(20ms * id);
    bench.dispatcher.Submit(bench.Request(id, now), now);
    for (; seen < bench.recorder.sent.size(); ++seen) {
      const std::string upstream = bench.recorder.sent[seen].second;
      const bool rejects = upstream == "grey" && id % 2 == 0;
      bench.End(upstream,
                rejects ? AttemptResult::kShed : AttemptResult::kAnswered, 30ms,
                now + 10ms);
    }
  }
  CHECK(bench.recorder.CountTo("sound") > 2 * bench.recorder.CountTo("grey"));
}

// Load pattern: release. A leaving upstream gets no new work.
TEST_CASE("Dispatcher sends nothing to a leaving upstream") {
  Bench bench;
  bench.Add("stays", "a1", 2);
  bench.Add("leaves", "a1", 2);
  ListedUpstream entry = *bench.fleet.Find("leaves");
  entry.leaving = true;
  bench.fleet.Apply({"leaves", entry}, At(0ms));
  bench.dispatcher.SetFleet(bench.fleet, bench.plan, 4, At(0ms));
  for (std::uint64_t id = 1; id <= 4; ++id)
    bench.dispatcher.Submit(bench.Request(id, At(0ms)), At(0ms));
  CHECK(bench.recorder.CountTo("leaves") == 0);
}

// Load pattern: hot keys on the move. Requests wait while their key changes
// hands, and go to the new owner.
TEST_CASE("Dispatcher holds requests while their key moves") {
  Bench bench;
  bench.plan.services["soil"].owns_keys = true;
  bench.Add("old", "a1", 2);
  bench.Add("new", "a1", 2);
  KeyAssignment row;
  row.owner = {"new", 1ms};
  row.token = 3;
  row.moving = true;
  KeyTable moving;
  moving.Assign(row);
  bench.dispatcher.SetKeyTable("soil", &moving, At(0ms));
  DispatchRequest request = bench.Request(1, At(0ms));
  request.key = 77;
  bench.dispatcher.Submit(request, At(0ms));
  CHECK(bench.recorder.sent.empty());
  row.moving = false;
  KeyTable moved;
  moved.Assign(row);
  bench.dispatcher.SetKeyTable("soil", &moved, At(100ms));
  REQUIRE(bench.recorder.sent.size() == 1);
  CHECK(bench.recorder.sent[0].second == "new");
}

// Load pattern: addresses that go to other services. Requests must not reach
// the new upstream again and again.
TEST_CASE("Dispatcher forgets an upstream whose address was reused") {
  Bench bench;
  bench.Add("gone", "a1", 2);
  bench.Add("stays", "a1", 2);
  std::size_t seen = 0;
  int wrong = 0;
  for (std::uint64_t id = 1; id <= 30; ++id) {
    const BootTime now = At(50ms * id);
    bench.dispatcher.Submit(bench.Request(id, now), now);
    for (; seen < bench.recorder.sent.size(); ++seen) {
      const std::string upstream = bench.recorder.sent[seen].second;
      wrong += upstream == "gone" ? 1 : 0;
      bench.End(upstream,
                upstream == "gone" ? AttemptResult::kReplaced
                                   : AttemptResult::kAnswered,
                20ms, now + 20ms);
    }
  }
  CHECK(wrong <= 1);
}

// The granting instance hears of such an upstream, but not of one that was
// listed anew after the request was sent.
TEST_CASE("Dispatcher reports an upstream whose address was reused") {
  Bench bench;
  const KeyTable table = bench.AddOwnerOfAllKeys("gone");
  bench.dispatcher.SetKeyTable("soil", &table, At(0ms));
  DispatchRequest request = bench.Request(1, At(10ms));
  request.key = 5;
  bench.dispatcher.Submit(request, At(10ms));
  REQUIRE(bench.recorder.sent.size() == 1);
  SECTION("sent to this life") {
    bench.End("gone", AttemptResult::kReplaced, 5ms, At(15ms));
    const auto load = bench.dispatcher.TakeLoad(At(20ms));
    REQUIRE(load.contains("soil"));
    REQUIRE(load.at("soil").replaced.size() == 1);
    CHECK(load.at("soil").replaced[0] == UpstreamIncarnation{"gone", 1ms});
    CHECK(bench.dispatcher.TakeLoad(At(1000ms)).contains("soil"));
    CHECK_FALSE(bench.dispatcher.TakeLoad(At(20s)).contains("soil"));
  }
  SECTION("sent before this life was known") {
    bench.End("gone", AttemptResult::kReplaced, 60ms, At(15ms));
    const auto load = bench.dispatcher.TakeLoad(At(20ms));
    CHECK(load.at("soil").replaced.empty());
  }
}

// Load pattern: keys that moved without notice. The budget for repeats must not
// be spent on an owner that is none.
TEST_CASE("Dispatcher sends one request at a time to a doubtful owner") {
  Bench bench;
  const KeyTable table = bench.AddOwnerOfAllKeys("old");
  bench.dispatcher.SetKeyTable("soil", &table, At(0ms));
  DispatchRequest request = bench.Request(1, At(0ms));
  request.key = 5;
  bench.dispatcher.Submit(request, At(0ms));
  bench.dispatcher.OnEnded(request, "old", AttemptResult::kMisrouted, 1ms,
                           At(1ms));
  for (std::uint64_t id = 2; id <= 9; ++id) {
    request = bench.Request(id, At(2ms));
    request.key = 6;
    bench.dispatcher.Submit(request, At(2ms));
  }
  CHECK(bench.recorder.sent.size() == 1);
  bench.dispatcher.Tick(At(100ms));
  CHECK(bench.recorder.sent.size() == 2);
}

// A caller of a service without upstreams learns it at once.
TEST_CASE("Dispatcher refuses at once without any upstream") {
  Bench bench;
  bench.dispatcher.SetFleet(bench.fleet, bench.plan, 4, At(0ms));
  bench.dispatcher.Submit(bench.Request(1, At(0ms)), At(0ms));
  REQUIRE(bench.recorder.refused.size() == 1);
  CHECK(bench.recorder.refused[0].kind == ErrorKind::kNotRunUnreachable);
}

// Load pattern: callers that give up. Their requests leave the line.
TEST_CASE("Dispatcher forgets a cancelled request") {
  Bench bench;
  bench.Add("only", "a1", 1);
  bench.dispatcher.Submit(bench.Request(1, At(0ms)), At(0ms));
  bench.dispatcher.Submit(bench.Request(2, At(0ms)), At(0ms));
  CHECK(bench.dispatcher.Cancel("soil", 2));
  CHECK_FALSE(bench.dispatcher.Cancel("soil", 2));
  bench.End("only", AttemptResult::kAnswered, 20ms, At(20ms));
  CHECK(bench.recorder.sent.size() == 1);
}

}  // namespace
}  // namespace pollenrudder
