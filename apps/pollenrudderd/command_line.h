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
  // The path of the settings file; not empty in kRun and kCheck, except on the
  // platform, which names it in the environment.
  std::string settings_path;
  // Run on the users' platform instead of over the shared document.
  bool on_platform = false;

  // The text of --help.
  static std::string_view HelpText();
  // Fails with kInvalidSettings and a message for the user.
  static Result<CommandLine> Parse(int argument_count, char** arguments);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_
