// Entry point of pollenrudderd: runs it on the users' platform or in document
// mode.

#include <iostream>

#include "platform/run_on_platform.h"
#include "pollenrudderd/command_line.h"
#include "pollenrudderd/document_mode.h"

namespace pollenrudder {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

int Run(int argument_count, char** arguments) {
  const auto line = CommandLine::Parse(argument_count, arguments);
  if (!line) {
    std::cerr << "pollenrudderd: " << line.error().message << '\n'
              << CommandLine::HelpText();
    return kExitUsage;
  }
  switch (line.value().mode) {
    case CommandLine::Mode::kHelp:
      std::cout << CommandLine::HelpText();
      return kExitOk;
    case CommandLine::Mode::kVersion:
      std::cout << "pollenrudderd " << POLLENRUDDER_VERSION << '\n';
      return kExitOk;
    case CommandLine::Mode::kCheck:
    case CommandLine::Mode::kRun:
      break;
  }
  const std::string& path = line.value().settings_path;
  const bool check_only = line.value().mode == CommandLine::Mode::kCheck;
  return line.value().on_platform
             ? platform::RunOnPlatform(path, check_only,
                                       line.value().hedge_share)
             : RunInDocumentMode(path, check_only);
}

}  // namespace
}  // namespace pollenrudder

int main(int argument_count, char** arguments) {
  return pollenrudder::Run(argument_count, arguments);
}
