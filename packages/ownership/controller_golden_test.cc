// Whole sessions of several Controllers, compared with golden files.
//
// POLLENRUDDER_REWRITE_GOLDEN=1 writes the files instead.

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

// One session: a fixture with three zones in two regions and its report.
class Session {
 public:
  explicit Session(std::string name, const std::string& hold = "30s")
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
                     "isolation_hold: " + hold);
    fixture.Publish("ground", section_);
    Mark("start");
    REQUIRE(fixture.RunUntil([&] { return fixture.AllServed(kService); }, 10s));
    fixture.Run(3s);
    Mark("all shards are served; leader of u-a: " + fixture.Sender("u-a"));
  }

  // Adds the log lines since the last mark, then the text.
  void Mark(const std::string& text) {
    const auto& decisions = fixture.decisions();
    for (; written_ < decisions.size(); ++written_)
      Write(decisions[written_]);
    report_ << Time(fixture.elapsed()) << " == " << text << "\n";
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

  // Cuts the zone off from the log and from all other zones.
  void CutZones(const std::vector<std::string>& inside,
                const std::vector<std::string>& outside,
                bool cut) {
    for (const std::string& left : inside) {
      fixture.CutLog(left, cut);
      for (const std::string& right : outside)
        fixture.CutPeers(left, right, cut);
    }
  }

  // Compares the report with the golden file.
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
  static std::string Time(std::chrono::nanoseconds time) {
    std::ostringstream text;
    text << std::setw(9) << std::fixed << std::setprecision(3)
         << std::chrono::duration<double>(time).count();
    return text.str();
  }

  void Write(const ControllerFixture::Decision& decision) {
    std::ostringstream line;
    line << decision.line.event.number << " " << decision.line.event.name;
    for (const LogField& field : decision.line.fields)
      line << " " << field.name << "=" << field.value;
    // Every instance reports what it reads; the first report is enough.
    const int number = decision.line.event.number;
    if (number == kCheckpointWritten.number)
      return;
    if ((number == kTermRead.number || number == kSectionApplied.number ||
         number == kRecordIgnored.number) &&
        !read_.insert(line.str()).second) {
      return;
    }
    report_ << Time(decision.at) << " " << decision.instance << " "
            << line.str() << "\n";
  }

  const std::string name_;
  std::string section_;
  std::ostringstream report_;
  // The reports of records that were read.
  std::set<std::string> read_;
  // The number of log lines in the report.
  std::size_t written_ = 0;
};

const std::vector<std::string> zone_a = {"a1.1", "a2.1", "a3.1"};
const std::vector<std::string> zone_b = {"b1.1", "b2.1"};
const std::vector<std::string> zone_c = {"c1.1", "c2.1"};
const std::vector<std::string> zones_bc = {"b1.1", "b2.1", "c1.1", "c2.1"};
const std::vector<std::string> zones_ab = {"a1.1", "a2.1", "a3.1", "b1.1",
                                           "b2.1"};

TEST_CASE("session: leader lost") {
  Session session("leader_lost");
  session.fixture.Kill(session.fixture.Sender("u-a"));
  session.Mark("the leader of u-a ends");
  session.Run(2s, "2 s later");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: upstream lost") {
  Session session("upstream_lost");
  session.fixture.Observe("u-a", UpstreamObserved::State::kLost, {7});
  session.Mark("u-a is lost with one request in flight");
  session.Run(2s, "2 s later");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: log outage with the zones connected") {
  Session session("log_outage");
  session.fixture.SetLogDown(true);
  session.Mark("the log is down");
  session.Run(1h, "after an hour");
  REQUIRE(session.fixture.AllServed(kService));
  session.fixture.SetLogDown(false);
  session.Run(3s, "3 s after the log is back");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: zone cut that is shorter than the hold") {
  Session session("zone_cut_long_hold", "5400s");
  session.CutZones(zone_a, zones_bc, true);
  session.Mark("zone a is cut off");
  session.Run(1h, "after an hour");
  REQUIRE_FALSE(session.fixture.Sender("u-a").empty());
  session.CutZones(zone_a, zones_bc, false);
  // Known cost: the claim of the far voter ends the lease of the leader that
  // was cut off, and waits for the rest of the hold.
  session.Run(3s, "3 s after the zone is back");
  session.Run(45min, "45 min after the zone is back");
  session.Finish();
}

TEST_CASE("session: zone cut that is longer than the hold") {
  Session session("zone_cut_short_hold");
  session.CutZones(zone_a, zones_bc, true);
  session.Mark("zone a is cut off");
  session.Run(60s, "after a minute");
  REQUIRE(zone_a.end() == std::find(zone_a.begin(), zone_a.end(),
                                    session.fixture.Sender("u-a")));
  session.Run(3540s, "after an hour");
  session.CutZones(zone_a, zones_bc, false);
  session.Run(5s, "5 s after the zone is back");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: region cut") {
  Session session("region_cut");
  session.CutZones(zone_c, zones_ab, true);
  session.Mark("region west is cut off from the log and from region east");
  session.Run(1h, "after an hour");
  session.CutZones(zone_c, zones_ab, false);
  session.Run(5s, "5 s after the regions are connected again");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: racing operators") {
  Session session("racing_operators");
  const LogOffset previous =
      session.fixture.Table().state().sections.at("ground").offset;
  session.fixture.Publish("ground", session.section() + "# first\n", previous);
  session.fixture.Publish("ground", session.section() + "# second\n", previous);
  session.Mark("two edits of one version");
  session.Run(1s, "1 s later");
  const std::string text =
      session.fixture.Table().state().sections.at("ground").text;
  REQUIRE(text.find("# first") != std::string::npos);
  session.Finish();
}

TEST_CASE("session: SIGTERM leave") {
  Session session("leave");
  const std::string leader = session.fixture.Sender("u-a");
  session.fixture.Input(leader, LeaveRequested{});
  session.Mark("the leader of u-a leaves");
  session.Run(3s, "3 s later");
  REQUIRE(session.fixture.AllServed(kService));
  REQUIRE(session.fixture.Sender("u-a") != leader);
  session.Finish();
}

TEST_CASE("session: lost answers") {
  Session session("lost_answers");
  const std::string leader = session.fixture.Sender("u-a");
  for (const std::string& instance : zones_ab)
    session.fixture.LoseAppendAnswers(instance, 3);
  session.fixture.Input(leader, LeaveRequested{});
  session.Mark("the leader of u-a leaves; answers to appends are lost");
  session.Run(5s, "5 s later");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: planned stop whose leader dies") {
  Session session("planned_stop_leader_dies");
  session.fixture.BlockDrains("u-a", true);
  session.fixture.Publish("ground",
                          session.section() +
                              "planned_stops:\n  - {upstream: u-a, "
                              "start: 2026-01-01T00:00:02Z, "
                              "end: 2026-01-01T01:00:00Z, drain: 1s}\n");
  session.Run(500ms, "a stop of u-a begins, its drain doesn't end");
  session.fixture.Kill(session.fixture.Sender("u-a"));
  session.fixture.BlockDrains("u-a", false);
  session.Run(5s, "5 s after the leader of u-a ended");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

TEST_CASE("session: an instance restarts while the log is down") {
  Session session("restart_log_down");
  session.fixture.SetLogDown(true);
  session.Run(1s, "the log is down");
  std::string voter;
  for (const std::string& instance : zone_a) {
    if (instance != session.fixture.Sender("u-a"))
      voter = instance;
  }
  session.fixture.Kill(voter);
  session.fixture.AddInstance(voter.substr(0, 2) + "x", "a", 1.0, "east");
  session.Run(10s, "a zone peer of u-a's leader restarted 10 s ago");
  REQUIRE(session.fixture.Sender("u-a").empty());
  session.fixture.SetLogDown(false);
  session.Run(3s, "3 s after the log is back");
  REQUIRE(session.fixture.AllServed(kService));
  session.Finish();
}

}  // namespace
}  // namespace pollenrudder
