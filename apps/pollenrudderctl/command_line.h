// The command line of pollenrudderctl.

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

// Exit codes of the tool.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitConflict = 3,
};

// What the operator asked for.
struct CommandLine {
  std::string command;
  // The arguments that are not options.
  std::vector<std::string> arguments;
  std::string log_address;
  std::vector<std::string> admin_addresses;
  std::string service;
  std::string key;
  // The version that a publish replaces; the one in force if not given.
  std::optional<LogOffset> against;
  std::chrono::milliseconds timeout{5000};
  bool json = false;
  bool help = false;
  bool version = false;

  // Fails with kInvalidSettings and a message for the operator.
  static Result<CommandLine> Parse(int argument_count, char** arguments);

  // The text of --help.
  static std::string Usage();
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMAND_LINE_H_
