// Entry point of pollenrudderctl, the command line tool for operators.

#include <array>
#include <iostream>
#include <string_view>

#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"

namespace {

struct Command {
  std::string_view name;
  int (*run)(const pollenrudder::CommandLine&);
};

constexpr std::array<Command, 6> kCommands = {{
    {"check", pollenrudder::RunCheck},
    {"publish", pollenrudder::RunPublish},
    {"status", pollenrudder::RunStatus},
    {"route", pollenrudder::RunRoute},
    {"owners", pollenrudder::RunOwners},
    {"stops", pollenrudder::RunStops},
}};

int ReportUsage(std::string_view message) {
  std::cerr << "pollenrudderctl: " << message
            << "\nTry 'pollenrudderctl --help'.\n";
  return pollenrudder::kExitUsage;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const auto line = pollenrudder::CommandLine::Parse(argument_count, arguments);
  if (!line)
    return ReportUsage(line.error().message);
  if (line.value().help) {
    std::cout << pollenrudder::CommandLine::Usage();
    return pollenrudder::kExitOk;
  }
  if (line.value().version) {
    std::cout << "pollenrudderctl " POLLENRUDDER_VERSION "\n";
    return pollenrudder::kExitOk;
  }
  for (const Command& command : kCommands) {
    if (command.name == line.value().command)
      return command.run(line.value());
  }
  return ReportUsage("unknown command " + line.value().command);
}
