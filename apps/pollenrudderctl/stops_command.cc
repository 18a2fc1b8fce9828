// The command `stops`: prints the planned stops of the replayed document.

#include <boost/json.hpp>

#include <ctime>
#include <iomanip>
#include <iostream>

#include "ownership/ownership_table.h"
#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"
#include "pollenrudderctl/log_session.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

const char* TargetName(PlannedStop::Target target) {
  switch (target) {
    case PlannedStop::Target::kUpstream:
      return "upstream";
    case PlannedStop::Target::kInstance:
      return "instance";
    case PlannedStop::Target::kZone:
      return "zone";
  }
  return "upstream";
}

const char* StopState(const PlannedStop& stop, WallTime now) {
  if (now < stop.start)
    return "planned";
  if (now >= stop.end)
    return "ended";
  return now < stop.start + stop.drain ? "draining" : "stopped";
}

std::string FormatTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

json::object DescribeStop(const std::string& team,
                          const PlannedStop& stop,
                          WallTime now) {
  return {{"team", team},
          {"target", TargetName(stop.target)},
          {"name", stop.name},
          {"start", FormatTime(stop.start)},
          {"end", FormatTime(stop.end)},
          {"drain_ms", stop.drain.count()},
          {"state", StopState(stop, now)}};
}

}  // namespace

int RunStops(const CommandLine& line) {
  const auto session = LogSession::Open(line.log_address, line.timeout);
  if (!session) {
    std::cerr << "pollenrudderctl: " << session.error().message << '\n';
    return kExitFailure;
  }
  const WallTime now = std::chrono::system_clock::now();
  json::array stops;
  for (const auto& [team, section] :
       session.value()->table().document().sections()) {
    for (const PlannedStop& stop : section.planned_stops)
      stops.emplace_back(DescribeStop(team, stop, now));
  }
  if (line.json) {
    std::cout << json::serialize(stops) << '\n';
    return kExitOk;
  }
  for (const json::value& entry : stops) {
    const auto text = [&](const char* field) {
      return std::string(entry.at(field).as_string());
    };
    std::cout << std::left << std::setw(18) << text("team") << std::setw(10)
              << text("target") << std::setw(20) << text("name")
              << std::setw(22) << text("start") << std::setw(22) << text("end")
              << text("state") << '\n';
  }
  return kExitOk;
}

}  // namespace pollenrudder
