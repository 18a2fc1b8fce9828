// The command line of pollenrudderd.

#ifndef POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_
#define POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_

#include <string>
#include <string_view>

#include "base/result.h"

namespace pollenrudder {

// The parsed options.
struct CommandLine {
  enum class Mode { kRun, kCheck, kHelp, kVersion };

  Mode mode = Mode::kRun;
  // The path of the settings file; not empty in kRun and kCheck.
  std::string settings_path;

  // The text of --help.
  static std::string_view HelpText();
  // Fails with kInvalidSettings and a message for the user.
  static Result<CommandLine> Parse(int argument_count, char** arguments);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_
