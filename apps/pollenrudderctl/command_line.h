// Command line parsing and exit codes of pollenrudderctl.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMAND_LINE_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMAND_LINE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/log_offset.h"
#include "base/result.h"

namespace pollenrudder {

// Exit codes. kExitConflict means that another edit has replaced the version
// that `publish` was to replace.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitConflict = 3,
};

// A parsed command line.
struct CommandLine {
  std::string command;
  // Positional arguments after the command.
  std::vector<std::string> arguments;
  std::string log_address;
  std::vector<std::string> admin_addresses;
  std::string service;
  std::string key;
  // The section version that a publish must replace; by default the current
  // one.
  std::optional<LogOffset> against;
  std::chrono::milliseconds timeout{5000};
  bool json = false;
  bool help = false;
  bool version = false;

  // Returns kInvalidSettings with a message to print if the options are
  // invalid.
  static Result<CommandLine> Parse(int argument_count, char** arguments);

  // Returns the text of --help.
  static std::string Usage();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMAND_LINE_H_
