// Tests of upstream selection by PowerOfTwoChooser.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <map>

#include "routing/power_of_two_chooser.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

BootTime At(std::int64_t ms) {
  return BootTime(milliseconds(ms));
}

PowerOfTwoChooser MakeChooser(std::uint64_t seed = 1) {
  return PowerOfTwoChooser({.zone = "cuenca", .region = "sierra-sur"}, seed);
}

UpstreamCandidate InOwnZone(std::string name) {
  return {std::move(name), "cuenca", "sierra-sur", false};
}

// Sends `requests` requests, one per millisecond, each of which ends
// immediately with the result in `results` (kAnswered by default). Returns the
// number of requests per upstream.
std::map<std::string, int> Send(
    PowerOfTwoChooser& chooser,
    int requests,
    std::int64_t start,
    const std::map<std::string, SendResult>& results) {
  std::map<std::string, int> sent;
  for (int i = 0; i < requests; ++i) {
    const std::string name = *chooser.Choose(At(start + i), {});
    ++sent[name];
    chooser.OnSent(name, At(start + i));
    const auto result = results.find(name);
    chooser.OnFinished(
        name, result == results.end() ? SendResult::kAnswered : result->second,
        milliseconds(2), At(start + i));
  }
  return sent;
}

TEST_CASE("Nearer tiers are used first") {
  PowerOfTwoChooser chooser = MakeChooser();
  CHECK(chooser.Choose(At(0), {}) == nullptr);
  chooser.SetUpstreams({{"far", "cayambe", "sierra-norte"},
                        {"region", "loja", "sierra-sur"},
                        InOwnZone("zone")});
  CHECK(*chooser.Choose(At(0), {}) == "zone");
  const std::vector<std::string> tried = {"zone"};
  CHECK(*chooser.Choose(At(0), tried) == "region");
  // An availability zone without spare capacity spills over to the next tier.
  for (int i = 0; i < 8; ++i)
    chooser.OnSent("zone", At(0));
  CHECK(*chooser.Choose(At(0), {}) == "region");
  const std::vector<std::string> all = {"zone", "region", "far"};
  CHECK(chooser.Choose(At(0), all) != nullptr);
}

TEST_CASE("A leaving upstream gets no requests") {
  PowerOfTwoChooser chooser = MakeChooser();
  UpstreamCandidate leaving = InOwnZone("a");
  leaving.leaving = true;
  chooser.SetUpstreams({leaving, InOwnZone("b")});
  CHECK(Send(chooser, 100, 0, {}) == std::map<std::string, int>{{"b", 100}});
  chooser.SetUpstreams({leaving});
  CHECK(chooser.Choose(At(200), {}) == nullptr);
}

// Guards against sending more load to an upstream that refuses or fails
// quickly: its low latency and its few requests in flight make it look idle.
TEST_CASE("Fast failures and refusals do not attract load") {
  for (const SendResult result : {SendResult::kFailed, SendResult::kRefused}) {
    PowerOfTwoChooser chooser = MakeChooser();
    chooser.SetUpstreams({InOwnZone("a"), InOwnZone("b"), InOwnZone("c")});
    CHECK(Send(chooser, 3000, 0, {{"b", result}})["b"] < 100);
    // The upstream is tried again and gets its share once it answers.
    Send(chooser, 20000, 3000, {});
    CHECK(Send(chooser, 3000, 23000, {})["b"] > 500);
  }
}

TEST_CASE("An upstream is chosen even if all are ejected") {
  PowerOfTwoChooser chooser = MakeChooser();
  chooser.SetUpstreams({InOwnZone("a")});
  Send(chooser, 10, 0, {{"a", SendResult::kFailed}});
  CHECK(*chooser.Choose(At(11), {}) == "a");
}

TEST_CASE("A new upstream starts with a small share") {
  PowerOfTwoChooser chooser = MakeChooser();
  chooser.SetUpstreams({InOwnZone("a"), InOwnZone("b")});
  Send(chooser, 1000, 0, {});
  chooser.SetUpstreams({InOwnZone("a"), InOwnZone("b"), InOwnZone("c")});
  CHECK(Send(chooser, 300, 1000, {})["c"] < 60);
  CHECK(Send(chooser, 3000, 7000, {})["c"] > 700);
}

// Guards the counts of requests in flight against ends that are reported twice,
// late or for unknown upstreams.
TEST_CASE("Random calls choose an upstream whenever one accepts requests") {
  rc::prop("random calls", [](std::uint64_t seed) {
    PowerOfTwoChooser chooser = MakeChooser(seed);
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    std::int64_t time = 0;
    bool any = false;
    for (int i = 0; i < 200; ++i) {
      time += *rc::gen::inRange(0, 500);
      const std::string& name = names[*rc::gen::inRange<std::size_t>(0, 4)];
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          std::vector<UpstreamCandidate> list;
          any = false;
          for (const std::string& other : names) {
            if (*rc::gen::arbitrary<bool>())
              continue;
            list.push_back(InOwnZone(other));
            list.back().leaving = *rc::gen::arbitrary<bool>();
            any = any || !list.back().leaving;
          }
          chooser.SetUpstreams(list);
          break;
        }
        case 1:
          chooser.OnSent(name, At(time));
          break;
        case 2:
          chooser.OnFinished(
              name,
              *rc::gen::element(SendResult::kAnswered, SendResult::kFailed,
                                SendResult::kRefused),
              milliseconds(3), At(time));
          break;
        default:
          RC_ASSERT((chooser.Choose(At(time), {}) != nullptr) == any);
      }
    }
  });
}

}  // namespace
}  // namespace pollenrudder
