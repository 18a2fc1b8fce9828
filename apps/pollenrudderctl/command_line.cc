// Parses the command line of pollenrudderctl with getopt_long.

#include "pollenrudderctl/command_line.h"

#include <getopt.h>

#include <array>

#include "document/unit_parser.h"

namespace pollenrudder {
namespace {

enum Option : int {
  kLog = 256,
  kAdmin,
  kService,
  kKey,
  kAgainst,
  kTimeout,
  kJson,
  kHelp,
  kVersion,
};

constexpr std::array<option, 10> kOptions = {{
    {"log", required_argument, nullptr, kLog},
    {"admin", required_argument, nullptr, kAdmin},
    {"service", required_argument, nullptr, kService},
    {"key", required_argument, nullptr, kKey},
    {"against", required_argument, nullptr, kAgainst},
    {"timeout", required_argument, nullptr, kTimeout},
    {"json", no_argument, nullptr, kJson},
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {nullptr, 0, nullptr, 0},
}};

Error UsageError(std::string message) {
  return MakeError(ErrorKind::kInvalidSettings, std::move(message));
}

Result<void> ApplyOption(CommandLine& line, int option, const char* value) {
  switch (option) {
    case kLog:
    case kAdmin:
      if (!IsAddress(value))
        return UsageError(std::string("not an IP address and a port: ") +
                          value);
      if (option == kLog)
        line.log_address = value;
      else
        line.admin_addresses.emplace_back(value);
      return boost::outcome_v2::success();
    case kService:
      line.service = value;
      return boost::outcome_v2::success();
    case kKey:
      line.key = value;
      return boost::outcome_v2::success();
    case kAgainst:
      line.against = ParseWholeNumber(value);
      if (!line.against)
        return UsageError("--against takes a log offset");
      return boost::outcome_v2::success();
    case kTimeout: {
      const auto timeout = ParseDuration(value);
      if (!timeout || timeout->count() == 0)
        return UsageError("--timeout takes a duration, such as 5s");
      line.timeout = *timeout;
      return boost::outcome_v2::success();
    }
    case kJson:
      line.json = true;
      return boost::outcome_v2::success();
    case kHelp:
      line.help = true;
      return boost::outcome_v2::success();
    case kVersion:
      line.version = true;
      return boost::outcome_v2::success();
    default:
      return UsageError("unknown option or missing value");
  }
}

}  // namespace

Result<CommandLine> CommandLine::Parse(int argument_count, char** arguments) {
  CommandLine line;
  optind = 0;
  opterr = 0;
  while (true) {
    const int option =
        getopt_long(argument_count, arguments, "", kOptions.data(), nullptr);
    if (option == -1)
      break;
    BOOST_OUTCOME_TRYV(ApplyOption(line, option, optarg ? optarg : ""));
  }
  for (int index = optind; index < argument_count; ++index)
    line.arguments.emplace_back(arguments[index]);
  if (!line.arguments.empty()) {
    line.command = line.arguments.front();
    line.arguments.erase(line.arguments.begin());
  }
  if (line.command.empty() && !line.help && !line.version)
    return UsageError("a command is missing");
  return line;
}

std::string CommandLine::Usage() {
  return R"(usage: pollenrudderctl COMMAND [OPTIONS]

Commands
  check FILE...          check sections offline, each beside the others
  publish FILE           publish a section (--log); fails if another edit won
  status                 what is in force at instances (--admin, repeatable)
  route                  where a key goes and why (--admin --service [--key])
  owners                 leaders, terms and shards (--log [--service])
  stops                  planned stops (--log)

Options
  --log IP:PORT          the platform's log
  --admin IP:PORT        the admin port of an instance; may be repeated
  --service NAME         the service to show
  --key KEY              the key to look up
  --against OFFSET       the version that a publish replaces; by default the
                         one in force
  --timeout DURATION     how long to wait for an answer (default 5s)
  --json                 print JSON
  --help                 print this text
  --version              print the version

Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict (another edit won).
)";
}

}  // namespace pollenrudder
