// Scenarios with several Controllers, whose log events are compared with golden
// files. Set POLLENRUDDER_REWRITE_GOLDEN=1 to write the files instead.

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "controller_fixture_test.h"
#include "ownership/ownership_events.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr char kService[] = "geodata";

// Runs a fixture with three availability zones in two regions and records its
// log events.
class Scenario {
 public:
  explicit Scenario(std::string name, const std::string& isolation_hold = "30s")
      : name_(std::move(name)) {
    for (const char* instance : {"a1", "a2", "a3"})
      fixture.AddInstance(instance, "a", 1.0, "east");
    for (const char* instance : {"b1", "b2"})
      fixture.AddInstance(instance, "b", 1.0, "east");
    for (const char* instance : {"c1", "c2"})
      fixture.AddInstance(instance, "c", 1.0, "west");
    fixture.AddUpstream("u-a", kService, "a", "east");
    fixture.AddUpstream("u-b", kService, "b", "east");
    fixture.AddUpstream("u-c", kService, "c", "west");
    section_ = ShardedSection("ground", kService, 12);
    section_.replace(section_.find("isolation_hold: 5s"), 18,
                     "isolation_hold: " + isolation_hold);
    fixture.Publish("ground", section_);
    Mark("start");
    REQUIRE(fixture.RunUntil([&] { return fixture.AllServed(kService); }, 10s));
    fixture.Run(3s);
    Mark("all shards are served; leader of u-a: " + fixture.Sender("u-a"));
  }

  // Records the log events since the last mark, then the text.
  void Mark(const std::string& text) {
    const auto& log_lines = fixture.log_lines();
    for (; recorded_ < log_lines.size(); ++recorded_)
      Write(log_lines[recorded_]);
    report_ << FormatTime(fixture.elapsed()) << " == " << text << "\n";
  }

  void Run(std::chrono::nanoseconds duration, const std::string& text) {
    fixture.Run(duration);
    const auto sender = [this](const char* upstream) {
      const std::string name = fixture.Sender(upstream);
      return std::string(upstream) + " by " + (name.empty() ? "nobody" : name);
    };
    Mark(text + "; " + sender("u-a") + ", " + sender("u-b") + ", " +
         sender("u-c"));
  }

  // Disconnects the instances `inside` from the log and from `outside`, or
  // connects them again.
  void CutZones(const std::vector<std::string>& inside,
                const std::vector<std::string>& outside,
                bool cut) {
    for (const std::string& left : inside) {
      fixture.CutLog(left, cut);
      for (const std::string& right : outside)
        fixture.CutPeers(left, right, cut);
    }
  }

  // Compares the recorded report with the golden file.
  void Finish() {
    CHECK(fixture.violations().empty());
    const std::string path = std::string(GOLDEN_FOLDER) + "/" + name_ + ".txt";
    if (std::getenv("POLLENRUDDER_REWRITE_GOLDEN")) {
      std::ofstream(path) << report_.str();
      return;
    }
    std::ifstream file(path);
    std::stringstream expected;
    expected << file.rdbuf();
    REQUIRE(report_.str() == expected.str());
  }

  const std::string& section() const { return section_; }

  ControllerFixture fixture;

 private:
  static std::string FormatTime(std::chrono::nanoseconds time) {
    std::ostringstream text;
    text << std::setw(9) << std::fixed << std::setprecision(3)
         << std::chrono::duration<double>(time).count();
    return text.str();
  }

  void Write(const ControllerFixture::LogLine& log_line) {
    std::ostringstream line;
    line << log_line.line.event.number << " " << log_line.line.event.name;
    for (const LogField& field : log_line.line.fields)
      line << " " << field.name << "=" << field.value;
    // All instances log what they read. Only the first line of each is
    // recorded.
    const int number = log_line.line.event.number;
    if (number == kCheckpointWritten.number)
      return;
    if ((number == kTermRead.number || number == kSectionApplied.number ||
         number == kRecordIgnored.number) &&
        !logged_reads_.insert(line.str()).second) {
      return;
    }
    report_ << FormatTime(log_line.at) << " " << log_line.instance << " "
            << line.str() << "\n";
  }

  const std::string name_;
  std::string section_;
  std::ostringstream report_;
  // Lines about records that were read and are already in the report.
  std::set<std::string> logged_reads_;
  // The number of log events that are already in the report.
  std::size_t recorded_ = 0;
};

const std::vector<std::string> zone_a = {"a1.1", "a2.1", "a3.1"};
const std::vector<std::string> zone_b = {"b1.1", "b2.1"};
const std::vector<std::string> zone_c = {"c1.1", "c2.1"};
const std::vector<std::string> zones_bc = {"b1.1", "b2.1", "c1.1", "c2.1"};
const std::vector<std::string> zones_ab = {"a1.1", "a2.1", "a3.1", "b1.1",
                                           "b2.1"};

TEST_CASE("scenario: leader lost") {
  Scenario scenario("leader_lost");
  scenario.fixture.Kill(scenario.fixture.Sender("u-a"));
  scenario.Mark("the leader of u-a ends");
  scenario.Run(2s, "2 s later");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: upstream lost") {
  Scenario scenario("upstream_lost");
  scenario.fixture.Observe("u-a", UpstreamObserved::State::kLost, {7});
  scenario.Mark("u-a is lost with one request in flight");
  scenario.Run(2s, "2 s later");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: log outage while the zones are connected") {
  Scenario scenario("log_outage");
  scenario.fixture.SetLogDown(true);
  scenario.Mark("the log is down");
  scenario.Run(1h, "after an hour");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.fixture.SetLogDown(false);
  scenario.Run(3s, "3 s after the log is back");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: zone partition shorter than the isolation hold") {
  Scenario scenario("zone_cut_long_hold", "5400s");
  scenario.CutZones(zone_a, zones_bc, true);
  scenario.Mark("zone a is cut off");
  scenario.Run(1h, "after an hour");
  REQUIRE_FALSE(scenario.fixture.Sender("u-a").empty());
  scenario.CutZones(zone_a, zones_bc, false);
  // Known limitation: the claim of the voter in another zone ends the lease of
  // the disconnected leader, and then waits for the rest of the isolation hold.
  scenario.Run(3s, "3 s after the zone is back");
  scenario.Run(45min, "45 min after the zone is back");
  scenario.Finish();
}

TEST_CASE("scenario: zone partition longer than the isolation hold") {
  Scenario scenario("zone_cut_short_hold");
  scenario.CutZones(zone_a, zones_bc, true);
  scenario.Mark("zone a is cut off");
  scenario.Run(60s, "after a minute");
  REQUIRE(zone_a.end() == std::find(zone_a.begin(), zone_a.end(),
                                    scenario.fixture.Sender("u-a")));
  scenario.Run(3540s, "after an hour");
  scenario.CutZones(zone_a, zones_bc, false);
  scenario.Run(5s, "5 s after the zone is back");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: region partition") {
  Scenario scenario("region_cut");
  scenario.CutZones(zone_c, zones_ab, true);
  scenario.Mark("region west is cut off from the log and from region east");
  scenario.Run(1h, "after an hour");
  scenario.CutZones(zone_c, zones_ab, false);
  scenario.Run(5s, "5 s after the regions are connected again");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: concurrent edits of a section") {
  Scenario scenario("racing_operators");
  const LogOffset previous =
      scenario.fixture.Table().state().sections.at("ground").offset;
  scenario.fixture.Publish("ground", scenario.section() + "# first\n",
                           previous);
  scenario.fixture.Publish("ground", scenario.section() + "# second\n",
                           previous);
  scenario.Mark("two edits of one version");
  scenario.Run(1s, "1 s later");
  const std::string text =
      scenario.fixture.Table().state().sections.at("ground").text;
  REQUIRE(text.find("# first") != std::string::npos);
  scenario.Finish();
}

TEST_CASE("scenario: leave on SIGTERM") {
  Scenario scenario("leave");
  const std::string leader = scenario.fixture.Sender("u-a");
  scenario.fixture.Input(leader, LeaveRequested{});
  scenario.Mark("the leader of u-a leaves");
  scenario.Run(3s, "3 s later");
  REQUIRE(scenario.fixture.AllServed(kService));
  REQUIRE(scenario.fixture.Sender("u-a") != leader);
  scenario.Finish();
}

TEST_CASE("scenario: answers to appends lost") {
  Scenario scenario("lost_answers");
  const std::string leader = scenario.fixture.Sender("u-a");
  for (const std::string& instance : zones_ab)
    scenario.fixture.LoseAppendAnswers(instance, 3);
  scenario.fixture.Input(leader, LeaveRequested{});
  scenario.Mark("the leader of u-a leaves; answers to appends are lost");
  scenario.Run(5s, "5 s later");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: planned stop whose leader ends") {
  Scenario scenario("planned_stop_leader_dies");
  scenario.fixture.BlockDrains("u-a", true);
  scenario.fixture.Publish("ground",
                           scenario.section() +
                               "planned_stops:\n  - {upstream: u-a, "
                               "start: 2026-01-01T00:00:02Z, "
                               "end: 2026-01-01T01:00:00Z, drain: 1s}\n");
  scenario.Run(500ms, "a stop of u-a begins, its drain doesn't end");
  scenario.fixture.Kill(scenario.fixture.Sender("u-a"));
  scenario.fixture.BlockDrains("u-a", false);
  scenario.Run(5s, "5 s after the leader of u-a ended");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

TEST_CASE("scenario: instance restart while the log is unavailable") {
  Scenario scenario("restart_log_down");
  scenario.fixture.SetLogDown(true);
  scenario.Run(1s, "the log is down");
  std::string voter;
  for (const std::string& instance : zone_a) {
    if (instance != scenario.fixture.Sender("u-a"))
      voter = instance;
  }
  scenario.fixture.Kill(voter);
  scenario.fixture.AddInstance(voter.substr(0, 2) + "x", "a", 1.0, "east");
  scenario.Run(10s, "a zone peer of u-a's leader restarted 10 s ago");
  REQUIRE(scenario.fixture.Sender("u-a").empty());
  scenario.fixture.SetLogDown(false);
  scenario.Run(3s, "3 s after the log is back");
  REQUIRE(scenario.fixture.AllServed(kService));
  scenario.Finish();
}

}  // namespace
}  // namespace pollenrudder
