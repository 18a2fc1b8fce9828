// Tests of PowerOfTwoChooser.

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

PowerOfTwoChooser Chooser(std::uint64_t seed = 1) {
  return PowerOfTwoChooser({.zone = "cuenca", .region = "sierra-sur"}, seed);
}

UpstreamCandidate Near(std::string name) {
  return {std::move(name), "cuenca", "sierra-sur", false};
}

// Sends `requests` requests that end at once with `end` and returns the number
// per upstream.
std::map<std::string, int> Send(PowerOfTwoChooser& chooser,
                                int requests,
                                std::int64_t start,
                                const std::map<std::string, SendResult>& ends) {
  std::map<std::string, int> sent;
  for (int i = 0; i < requests; ++i) {
    const std::string name = *chooser.Choose(At(start + i), {});
    ++sent[name];
    chooser.OnSent(name, At(start + i));
    const auto end = ends.find(name);
    chooser.OnFinished(name,
                       end == ends.end() ? SendResult::kAnswered : end->second,
                       milliseconds(2), At(start + i));
  }
  return sent;
}

TEST_CASE("Zones are used from near to far") {
  PowerOfTwoChooser chooser = Chooser();
  CHECK(chooser.Choose(At(0), {}) == nullptr);
  chooser.SetUpstreams({{"far", "cayambe", "sierra-norte"},
                        {"region", "loja", "sierra-sur"},
                        Near("zone")});
  CHECK(*chooser.Choose(At(0), {}) == "zone");
  const std::vector<std::string> tried = {"zone"};
  CHECK(*chooser.Choose(At(0), tried) == "region");
  // A full zone spills over.
  for (int i = 0; i < 8; ++i)
    chooser.OnSent("zone", At(0));
  CHECK(*chooser.Choose(At(0), {}) == "region");
  const std::vector<std::string> all = {"zone", "region", "far"};
  CHECK(chooser.Choose(At(0), all) != nullptr);
}

TEST_CASE("A leaving upstream gets no work") {
  PowerOfTwoChooser chooser = Chooser();
  UpstreamCandidate leaving = Near("a");
  leaving.leaving = true;
  chooser.SetUpstreams({leaving, Near("b")});
  CHECK(Send(chooser, 100, 0, {}) == std::map<std::string, int>{{"b", 100}});
  chooser.SetUpstreams({leaving});
  CHECK(chooser.Choose(At(200), {}) == nullptr);
}

// Guards against an upstream that refuses or fails fast, which looks idle and
// would attract the load.
TEST_CASE("Fast failures and refusals do not attract load") {
  for (const SendResult end : {SendResult::kFailed, SendResult::kRefused}) {
    PowerOfTwoChooser chooser = Chooser();
    chooser.SetUpstreams({Near("a"), Near("b"), Near("c")});
    CHECK(Send(chooser, 3000, 0, {{"b", end}})["b"] < 100);
    // It is tried again and gets its share once it answers.
    Send(chooser, 20000, 3000, {});
    CHECK(Send(chooser, 3000, 23000, {})["b"] > 500);
  }
}

TEST_CASE("An upstream is used even if all are paused") {
  PowerOfTwoChooser chooser = Chooser();
  chooser.SetUpstreams({Near("a")});
  Send(chooser, 10, 0, {{"a", SendResult::kFailed}});
  CHECK(*chooser.Choose(At(11), {}) == "a");
}

TEST_CASE("A new upstream starts with a small share") {
  PowerOfTwoChooser chooser = Chooser();
  chooser.SetUpstreams({Near("a"), Near("b")});
  Send(chooser, 1000, 0, {});
  chooser.SetUpstreams({Near("a"), Near("b"), Near("c")});
  CHECK(Send(chooser, 300, 1000, {})["c"] < 60);
  CHECK(Send(chooser, 3000, 7000, {})["c"] > 700);
}

// Guards the counts against ends that are reported twice, late or for unknown
// upstreams.
TEST_CASE("Random calls") {
  rc::prop("random calls", [](std::uint64_t seed) {
    PowerOfTwoChooser chooser = Chooser(seed);
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
            list.push_back(Near(other));
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
