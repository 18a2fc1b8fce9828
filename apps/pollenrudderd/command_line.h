// Command line parsing of pollenrudderd.

#ifndef POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_
#define POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_

#include <string>
#include <string_view>

#include "base/result.h"

namespace pollenrudder {

// A parsed command line.
struct CommandLine {
  enum class Mode { kRun, kCheck, kHelp, kVersion };

  Mode mode = Mode::kRun;
  // Path of the settings file. May be empty in kRun and kCheck only with
  // on_platform, where an environment variable can give the path.
  std::string settings_path;
  // Run on the users' platform instead of in document mode.
  bool on_platform = false;

  // The share of the requests of a service that may be hedged, 0 to
  // kMaxHedgeShare; 0 is off. Only with on_platform.
  double hedge_share = 0;

  // Hedges draw from the retry budget, so that a larger share has no use.
  static constexpr double kMaxHedgeShare = 0.2;

  // Returns the text of --help.
  static std::string_view HelpText();
  // Returns kInvalidSettings with a message to print if the options are
  // invalid.
  static Result<CommandLine> Parse(int argument_count, char** arguments);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_COMMAND_LINE_H_
