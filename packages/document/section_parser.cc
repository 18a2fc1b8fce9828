// Document::ParseSection and Document::CheckReplacement: the section parser and
// its checks.

#include <yaml-cpp/yaml.h>

#include <array>
#include <set>
#include <utility>

#include "document/document.h"
#include "document/mapping_reader.h"

namespace pollenrudder {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr MappingReader::Range kShardRange{1, 65536};
constexpr MappingReader::Range kLimitRange{1, 100'000};
constexpr MappingReader::Range kBodyRange{0, 64 << 20};
constexpr MappingReader::Range kImbalanceRange{1, 1000};
constexpr MappingReader::DurationRange kDeadlineRange{milliseconds(10),
                                                      milliseconds(600'000)};
constexpr MappingReader::DurationRange kIsolationHoldRange{milliseconds(0),
                                                           hours(24)};
constexpr MappingReader::DurationRange kDrainRange{milliseconds(0), hours(24)};
constexpr MappingReader::DurationRange kDwellRange{milliseconds(0), hours(24)};

void ReadKey(const YAML::Node& node,
             ServiceSettings& service,
             std::vector<DocumentError>& errors) {
  MappingReader reader(node, "key", errors);
  constexpr std::array<const char*, 3> kFields = {"header", "query",
                                                  "path_segment"};
  int found = 0;
  for (const char* field : kFields)
    found += reader.Has(field) ? 1 : 0;
  if (found != 1)
    reader.Report(
        "header",
        "or query or path_segment must be given, exactly one of them");
  service.is_sharded = true;
  reader.ReadName("header", service.key.name);
  reader.ReadName("query", service.key.name);
  reader.ReadNumber("path_segment", service.key.segment, {0, 64});
  if (reader.Has("query"))
    service.key.kind = KeySource::Kind::kQuery;
  if (reader.Has("path_segment"))
    service.key.kind = KeySource::Kind::kPathSegment;
  reader.Finish();
}

void ReadBalance(const YAML::Node& node,
                 ServiceSettings& service,
                 std::vector<DocumentError>& errors) {
  MappingReader reader(node, "balance", errors);
  reader.ReadPercentage("imbalance", service.imbalance_percent,
                        kImbalanceRange);
  reader.ReadDuration("dwell", service.dwell, kDwellRange);
  reader.Finish();
}

ServiceSettings ReadService(const YAML::Node& node,
                            const std::string& team,
                            std::vector<DocumentError>& errors) {
  ServiceSettings service;
  service.team = team;
  MappingReader reader(node, "service", errors);
  for (const char* field : {"name", "path_prefix", "slots", "connections"})
    reader.Require(field);
  reader.ReadName("name", service.name);
  reader.ReadText("path_prefix", service.path_prefix);
  const std::string& prefix = service.path_prefix;
  if (reader.Has("path_prefix") &&
      (!prefix.starts_with('/') || !prefix.ends_with('/')))
    reader.Report("path_prefix", "must start and end with a slash");
  if (prefix.starts_with("/pollenrudder/"))
    reader.Report("path_prefix", "/pollenrudder/ is reserved");
  reader.ReadChild(
      "key", [&](const YAML::Node& child) { ReadKey(child, service, errors); });
  if (reader.Has("shards") && !service.is_sharded)
    reader.Report("shards", "is allowed only beside key");
  reader.ReadNumber("shards", service.shards, kShardRange);
  reader.ReadNames("repeatable_methods", service.repeatable_methods);
  reader.ReadDuration("deadline", service.deadline, kDeadlineRange);
  reader.ReadDuration("isolation_hold", service.isolation_hold,
                      kIsolationHoldRange);
  reader.ReadNumber("slots", service.slots, kLimitRange);
  reader.ReadNumber("connections", service.connections, kLimitRange);
  reader.ReadNumber("queue_length", service.queue_length, kLimitRange);
  reader.ReadBoolean("checks_fence", service.checks_fence);
  reader.ReadBoolean("echoes_request_id", service.echoes_request_id);
  reader.ReadByteSize("max_body", service.max_body_bytes, kBodyRange);
  reader.ReadChild("balance", [&](const YAML::Node& child) {
    ReadBalance(child, service, errors);
  });
  if (reader.Has("connections") && service.connections < service.slots)
    reader.Report("connections", "must be at least slots");
  reader.Finish();
  return service;
}

// Stops of the same target must not overlap: the end of the first would return
// the target to service during the second.
bool StopsOverlap(const PlannedStop& first, const PlannedStop& second) {
  return first.target == second.target && first.name == second.name &&
         first.start < second.end && second.start < first.end;
}

void ReadPlannedStop(const YAML::Node& node,
                     Section& section,
                     std::vector<DocumentError>& errors) {
  PlannedStop stop;
  MappingReader reader(node, "planned_stop", errors);
  int targets = 0;
  const auto read_target = [&](const char* field, PlannedStop::Target target) {
    if (reader.Has(field)) {
      ++targets;
      stop.target = target;
    }
    reader.ReadName(field, stop.name);
  };
  read_target("upstream", PlannedStop::Target::kUpstream);
  read_target("instance", PlannedStop::Target::kInstance);
  read_target("zone", PlannedStop::Target::kZone);
  if (targets != 1)
    reader.Report("upstream",
                  "or instance or zone must be given, exactly one of them");
  reader.Require("start");
  reader.Require("end");
  reader.ReadTime("start", stop.start);
  reader.ReadTime("end", stop.end);
  reader.ReadDuration("drain", stop.drain, kDrainRange);
  if (reader.Has("start") && reader.Has("end")) {
    if (stop.end <= stop.start)
      reader.Report("end", "must be later than start");
    else if (stop.start + stop.drain > stop.end)
      reader.Report("drain", "must fit between start and end");
  }
  for (const PlannedStop& earlier : section.planned_stops) {
    if (StopsOverlap(earlier, stop))
      reader.Report("start", "overlaps another planned stop of " + stop.name);
  }
  reader.Finish();
  section.planned_stops.push_back(std::move(stop));
}

void ReadLost(const YAML::Node& node,
              Section& section,
              std::vector<DocumentError>& errors) {
  MappingReader reader(node, "lost", errors);
  reader.ReadNames("zones", section.lost_zones);
  reader.ReadNames("instances", section.lost_instances);
  reader.Finish();
}

void CheckUniqueServices(const YAML::Node& list,
                         const Section& section,
                         std::vector<DocumentError>& errors) {
  std::set<std::string> names;
  std::set<std::string> prefixes;
  for (std::size_t index = 0; index < section.services.size(); ++index) {
    const ServiceSettings& service = section.services[index];
    const YAML::Mark mark = list[index].Mark();
    const auto report = [&](const std::string& message) {
      errors.push_back({static_cast<std::size_t>(mark.line) + 1,
                        static_cast<std::size_t>(mark.column) + 1, message});
    };
    if (!names.insert(service.name).second)
      report("service " + service.name + " is declared twice");
    if (!prefixes.insert(service.path_prefix).second)
      report("path prefix " + service.path_prefix + " is declared twice");
  }
}

// Returns an error at the service's mapping in `text`, which has already been
// parsed without errors.
DocumentError ErrorAtService(std::string_view text,
                             std::size_t index,
                             std::string message) {
  std::vector<DocumentError> ignored;
  const auto root = MappingReader::ParseText(text, ignored);
  const YAML::Mark mark = (*root)["services"][index].Mark();
  return {static_cast<std::size_t>(mark.line) + 1,
          static_cast<std::size_t>(mark.column) + 1, std::move(message)};
}

bool PrefixesOverlap(std::string_view first, std::string_view second) {
  return first.starts_with(second) || second.starts_with(first);
}

// Returns why `service` conflicts with another team's `other`, or an empty
// string.
std::string FindConflict(const ServiceSettings& service,
                         const ServiceSettings& other) {
  if (service.name == other.name)
    return "service " + service.name + " belongs to team " + other.team;
  if (PrefixesOverlap(service.path_prefix, other.path_prefix))
    return "path prefix " + service.path_prefix + " overlaps " +
           other.path_prefix + " of team " + other.team;
  return {};
}

// Returns why `service` cannot replace `before`, or an empty string.
std::string FindForbiddenChange(const ServiceSettings& service,
                                const ServiceSettings& before) {
  if (service.is_sharded != before.is_sharded)
    return "service " + service.name +
           " cannot change whether it is divided by key";
  if (service.is_sharded && service.shards != before.shards)
    return "service " + service.name + " cannot change its shards from " +
           std::to_string(before.shards);
  return {};
}

}  // namespace

Document::CheckedSection Document::ParseSection(std::string_view text) {
  CheckedSection checked;
  Section& section = checked.section;
  std::vector<DocumentError>& errors = checked.errors;
  const auto root = MappingReader::ParseText(text, errors);
  if (!root)
    return checked;
  MappingReader reader(*root, "section", errors);
  reader.Require("team");
  reader.Require("services");
  reader.ReadName("team", section.team);
  reader.ReadNumber("max_in_flight", section.max_in_flight, kLimitRange);
  reader.ReadChildren("services", [&](const YAML::Node& child) {
    section.services.push_back(ReadService(child, section.team, errors));
  });
  reader.ReadChildren("planned_stops", [&](const YAML::Node& child) {
    ReadPlannedStop(child, section, errors);
  });
  reader.ReadChild("lost", [&](const YAML::Node& child) {
    ReadLost(child, section, errors);
  });
  reader.Finish();
  if (errors.empty())
    CheckUniqueServices((*root)["services"], section, errors);
  return checked;
}

Document::CheckedSection Document::CheckReplacement(
    std::string_view team,
    std::string_view text) const {
  CheckedSection checked = ParseSection(text);
  if (!checked.valid())
    return checked;
  const Section& section = checked.section;
  if (section.team != team)
    checked.errors.push_back({0, 0,
                              "the section names team " + section.team +
                                  ", not " + std::string(team)});
  for (std::size_t index = 0; index < section.services.size(); ++index) {
    const ServiceSettings& service = section.services[index];
    for (const auto& [other_team, other_section] : sections_) {
      for (const ServiceSettings& other : other_section.services) {
        std::string message;
        if (other_team != team)
          message = FindConflict(service, other);
        else if (other.name == service.name)
          message = FindForbiddenChange(service, other);
        if (!message.empty())
          checked.errors.push_back(
              ErrorAtService(text, index, std::move(message)));
      }
    }
  }
  return checked;
}

}  // namespace pollenrudder
