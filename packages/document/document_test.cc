// Tests of the section parser, the checks and the lookups.

#include "document/document.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ErrorText(const Document::CheckedSection& checked) {
  std::string messages;
  for (const DocumentError& error : checked.errors)
    messages += std::to_string(error.line) + ":" +
                std::to_string(error.column) + ": " + error.message + "\n";
  return messages;
}

std::string MinimalSection(const std::string& team,
                           const std::string& service,
                           const std::string& more = "") {
  return "team: " + team + "\nservices:\n  - {name: " + service +
         ", path_prefix: /" + service + "/, slots: 2, connections: 4" + more +
         "}\n";
}

// Guards against examples that the checks reject.
TEST_CASE("the examples of both deployments are valid together") {
  for (const char* deployment : {"lochmoor", "cumbre"}) {
    Document document;
    int sections = 0;
    for (const auto& entry : std::filesystem::directory_iterator(
             std::filesystem::path(EXAMPLES) / deployment)) {
      if (entry.path().extension() != ".yaml")
        continue;
      const auto checked = document.CheckReplacement(
          entry.path().stem().string(), ReadFile(entry.path()));
      INFO(entry.path() << "\n" << ErrorText(checked));
      REQUIRE(checked.valid());
      document.Replace(checked.section);
      ++sections;
    }
    REQUIRE(sections == 3);
  }
}

TEST_CASE("a section is parsed with its units and defaults") {
  const auto checked = Document::ParseSection(
      ReadFile(std::string(EXAMPLES) + "/lochmoor/ground-data.yaml"));
  REQUIRE(checked.valid());
  const ServiceSettings& geodata = checked.section.services[0];
  REQUIRE(geodata.is_sharded);
  REQUIRE(geodata.key.kind == KeySource::Kind::kPathSegment);
  REQUIRE(geodata.isolation_hold == std::chrono::seconds(5400));
  REQUIRE(geodata.max_body_bytes == 256 * 1024);
  REQUIRE(geodata.dwell == std::chrono::minutes(10));
  REQUIRE(geodata.IsRepeatable("GET"));
  REQUIRE_FALSE(geodata.IsRepeatable("POST"));
  REQUIRE_FALSE(checked.section.services[1].is_sharded);
}

// Guards against errors that are accepted, or reported without their position.
TEST_CASE("every error in a section is reported with line and column") {
  const auto checked = Document::ParseSection(
      "team: a b\n"
      "services:\n"
      "  - name: x\n"
      "    path_prefix: x\n"
      "    slots: 6\n"
      "    connections: 3\n"
      "    deadline: 2\n"
      "    color: red\n"
      "    key: {header: A, query: b}\n"
      "    shards: 0\n"
      "    checks_fence: yes\n"
      "planned_stops:\n"
      "  - {upstream: x-1, start: 2026-01-02T00:00:00Z, end: "
      "2026-01-01T00:00:00Z}\n"
      "  - {upstream: x-1, start: 2026-01-01T00:00:00Z, end: "
      "2026-01-01T00:00:10Z, drain: 1m}\n"
      "slots: 4\n"
      "team: twice\n");
  const std::string messages = ErrorText(checked);
  for (const char* expected :
       {"1:7: section.team must be", "4:18: service.path_prefix must start",
        "6:18: service.connections must be at least slots",
        "7:15: service.deadline must be a duration with a unit",
        "8:5: service has an unknown field color", "9:19: key.header or query",
        "10:13: service.shards must be", "11:19: service.checks_fence must be",
        "planned_stop.end must be later", "planned_stop.drain must fit",
        "15:1: section has an unknown field slots",
        "16:1: section has the field team twice"})
    REQUIRE_THAT(messages, Catch::Contains(expected));
}

TEST_CASE("text that is not a YAML mapping is rejected") {
  for (const char* text : {"", "- a\n", "a: [\n", "a: *b\n", "\t- x"}) {
    const auto checked = Document::ParseSection(text);
    REQUIRE_FALSE(checked.valid());
  }
  REQUIRE_FALSE(
      Document::ParseSection(std::string(std::size_t{300} * 1024, 'a'))
          .valid());
  REQUIRE_FALSE(
      Document::ParseSection("a: " + std::string(100'000, '[')).valid());
}

TEST_CASE("planned stops of one target must not overlap") {
  const std::string stops =
      "planned_stops:\n"
      "  - {zone: z, start: 2026-01-01T00:00:00Z, end: 2026-01-02T00:00:00Z}\n"
      "  - {zone: z, start: 2026-01-01T12:00:00Z, end: 2026-01-03T00:00:00Z}\n";
  const auto checked = Document::ParseSection(MinimalSection("t", "s") + stops);
  REQUIRE_THAT(ErrorText(checked), Catch::Contains("overlaps another"));
}

// Guards against two teams that own the same service, and against a team that
// receives the requests of another through a longer prefix.
TEST_CASE("a service and its paths belong to one team") {
  Document document;
  document.Replace(
      Document::ParseSection(MinimalSection("first", "geo")).section);
  REQUIRE_FALSE(
      document.CheckReplacement("second", MinimalSection("second", "geo"))
          .valid());
  const std::string nested =
      "team: second\nservices:\n"
      "  - {name: other, path_prefix: /geo/x/, slots: 1, connections: 1}\n";
  REQUIRE_THAT(ErrorText(document.CheckReplacement("second", nested)),
               Catch::Contains("3:5: path prefix /geo/x/ overlaps"));
  REQUIRE(document.CheckReplacement("first", MinimalSection("first", "geo"))
              .valid());
  REQUIRE_FALSE(
      document.CheckReplacement("second", MinimalSection("first", "new"))
          .valid());
}

// Guards against keys that change their owner without a move.
TEST_CASE("the shard count of a service is fixed") {
  Document document;
  const std::string key = ", key: {header: K}, shards: ";
  document.Replace(
      Document::ParseSection(MinimalSection("t", "s", key + "8")).section);
  REQUIRE(document.CheckReplacement("t", MinimalSection("t", "s", key + "8"))
              .valid());
  REQUIRE_FALSE(
      document.CheckReplacement("t", MinimalSection("t", "s", key + "16"))
          .valid());
  REQUIRE_FALSE(
      document.CheckReplacement("t", MinimalSection("t", "s")).valid());
}

TEST_CASE("a path belongs to the service with the longest prefix") {
  Document document;
  document.Replace(
      Document::ParseSection(
          "team: t\nservices:\n"
          "  - {name: a, path_prefix: /a/, slots: 1, connections: 1}\n"
          "  - {name: b, path_prefix: /a/b/, slots: 1, connections: 1}\n")
          .section);
  REQUIRE(document.FindServiceByPath("/a/b/c")->name == "b");
  REQUIRE(document.FindServiceByPath("/a/c")->name == "a");
  REQUIRE(document.FindServiceByPath("/x") == nullptr);
}

}  // namespace
}  // namespace pollenrudder
