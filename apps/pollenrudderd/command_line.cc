// Parses the command line of pollenrudderd with getopt_long.

#include "pollenrudderd/command_line.h"

#include <getopt.h>

#include <array>

namespace pollenrudder {

std::string_view CommandLine::HelpText() {
  return "usage: pollenrudderd --settings FILE [--check]\n"
         "       pollenrudderd --platform [--settings FILE] [--check]\n"
         "\n"
         "Routes HTTP requests to the upstreams that own their keys.\n"
         "\n"
         "  -s, --settings FILE  the settings file (YAML)\n"
         "  -p, --platform       run on the users' platform, which names the\n"
         "                       settings file in the environment\n"
         "  -c, --check          check the settings and exit\n"
         "  -h, --help           print this text and exit\n"
         "  -V, --version        print the version and exit\n"
         "\n"
         "SIGTERM or SIGINT starts a planned leave; a second one ends the\n"
         "daemon at once. Exit codes: 0 ok, 1 failure, 2 usage.\n";
}

Result<CommandLine> CommandLine::Parse(int argument_count, char** arguments) {
  static constexpr std::array<option, 6> kOptions = {{
      {"settings", required_argument, nullptr, 's'},
      {"platform", no_argument, nullptr, 'p'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  }};
  CommandLine line;
  optind = 1;
  int letter = 0;
  while ((letter = getopt_long(argument_count, arguments, "s:pchV",
                               kOptions.data(), nullptr)) != -1) {
    switch (letter) {
      case 's':
        line.settings_path = optarg;
        break;
      case 'p':
        line.on_platform = true;
        break;
      case 'c':
        line.mode = Mode::kCheck;
        break;
      case 'h':
        line.mode = Mode::kHelp;
        return line;
      case 'V':
        line.mode = Mode::kVersion;
        return line;
      default:
        return MakeError(ErrorKind::kInvalidSettings, "unknown option");
    }
  }
  if (optind < argument_count) {
    return MakeError(
        ErrorKind::kInvalidSettings,
        "unexpected argument \"" + std::string(arguments[optind]) + "\"");
  }
  if (line.settings_path.empty() && !line.on_platform)
    return MakeError(ErrorKind::kInvalidSettings, "--settings is required");
  return line;
}

}  // namespace pollenrudder
