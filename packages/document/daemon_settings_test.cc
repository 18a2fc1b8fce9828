// Tests of the parser of the daemon's settings file.

#include "document/daemon_settings.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

// Guards against an example file with which the daemon does not start.
TEST_CASE("the example settings are valid") {
  std::ifstream file(EXAMPLES "/daemon.yaml");
  std::stringstream text;
  text << file.rdbuf();
  const auto checked = DaemonSettings::Parse(text.str());
  REQUIRE(checked.errors.empty());
  REQUIRE(checked.settings.zone == "falkirk-a");
  REQUIRE(checked.settings.threads == 2);
  REQUIRE(checked.settings.memory_bytes == 256U << 20);
}

// Guards against a default that places an instance in the wrong zone, and
// against errors that are reported one at a time.
TEST_CASE("every error in the settings is reported at once") {
  const auto checked = DaemonSettings::Parse(
      "name: entry-1\ncaller: localhost:80\nthreads: 0\ncolor: red\n"
      "tls: {peers: {certificate: a}}\nmemory: 1MiB\n");
  std::string messages;
  for (const DocumentError& error : checked.errors)
    messages += std::to_string(error.line) + ": " + error.message + "\n";
  for (const char* expected :
       {"settings.zone is missing", "settings.region is missing",
        "settings.log is missing", "2: settings.caller must be an IP address",
        "3: settings.threads must be", "4: settings has an unknown field color",
        "6: settings.memory must be", "5: tls.peers.key is missing",
        "5: tls.peers.authority is missing"})
    REQUIRE_THAT(messages, Catch::Contains(expected));
}

}  // namespace
}  // namespace pollenrudder
