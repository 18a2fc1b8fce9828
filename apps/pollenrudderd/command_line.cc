// Parses the command line of pollenrudderd with getopt_long.

#include "pollenrudderd/command_line.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <optional>

namespace pollenrudder {
namespace {

std::optional<double> ParseShare(std::string_view text) {
  double share = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, share);
  // The comparison also excludes NaN.
  const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                        share >= 0 && share <= CommandLine::kMaxHedgeShare;
  return is_valid ? std::optional(share) : std::nullopt;
}

}  // namespace

std::string_view CommandLine::HelpText() {
  return "usage: pollenrudderd --settings FILE [--check]\n"
         "       pollenrudderd --platform [--settings FILE] [--check]\n"
         "                     [--hedge-share SHARE]\n"
         "\n"
         "Routes HTTP requests to the upstreams that own their keys.\n"
         "\n"
         "  -s, --settings FILE  the settings file (YAML)\n"
         "  -p, --platform       run on the users' platform, which names the\n"
         "                       settings file in the environment\n"
         "  -H, --hedge-share SHARE\n"
         "                       with --platform: the share of the requests "
         "of\n"
         "                       a service, 0 to 0.2, that may be sent to a\n"
         "                       second upstream while the first has not\n"
         "                       responded (default: 0, off)\n"
         "  -c, --check          check the settings and exit\n"
         "  -h, --help           print this text and exit\n"
         "  -V, --version        print the version and exit\n"
         "\n"
         "SIGTERM or SIGINT starts a planned leave; a second one ends the\n"
         "daemon at once. Exit codes: 0 ok, 1 failure, 2 usage.\n";
}

Result<CommandLine> CommandLine::Parse(int argument_count, char** arguments) {
  static constexpr std::array<option, 7> kOptions = {{
      {"settings", required_argument, nullptr, 's'},
      {"platform", no_argument, nullptr, 'p'},
      {"hedge-share", required_argument, nullptr, 'H'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  }};
  CommandLine line;
  optind = 1;
  int letter = 0;
  while ((letter = getopt_long(argument_count, arguments, "s:pH:chV",
                               kOptions.data(), nullptr)) != -1) {
    switch (letter) {
      case 's':
        line.settings_path = optarg;
        break;
      case 'p':
        line.on_platform = true;
        break;
      case 'H': {
        const auto share = ParseShare(optarg);
        if (!share) {
          return MakeError(ErrorKind::kInvalidSettings,
                           "--hedge-share must be a number from 0 to 0.2");
        }
        line.hedge_share = *share;
        break;
      }
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
  if (line.hedge_share > 0 && !line.on_platform) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "--hedge-share requires --platform");
  }
  return line;
}

}  // namespace pollenrudder
