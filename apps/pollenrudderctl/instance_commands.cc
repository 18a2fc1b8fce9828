// The commands `status` and `route`, which query the admin ports of instances.

#include <boost/json.hpp>

#include <iostream>

#include "operators/http_client.h"
#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

int ReportMissingOption(const char* option) {
  std::cerr << "pollenrudderctl: " << option << " is missing\n";
  return kExitUsage;
}

Result<json::value> QueryInstance(const std::string& address,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout) {
  BOOST_OUTCOME_TRY(const HttpClientResponse response,
                    SendHttpRequest(address, target, "", timeout));
  boost::system::error_code error;
  json::value body = json::parse(response.body, error);
  if (error || response.http_status != 200)
    return MakeError(ErrorKind::kPeerProtocol,
                     address + " answered " +
                         std::to_string(response.http_status) + ": " +
                         response.body);
  return body;
}

// Prints nested objects as indented "name: value" lines.
void PrintValue(const json::value& value, int indent) {
  const std::string space(static_cast<std::size_t>(indent) * 2, ' ');
  if (const json::object* object = value.if_object()) {
    for (const auto& [name, member] : *object) {
      if (member.is_structured()) {
        std::cout << space << std::string_view(name) << ":\n";
        PrintValue(member, indent + 1);
      } else {
        std::cout << space << std::string_view(name) << ": "
                  << json::serialize(member) << '\n';
      }
    }
    return;
  }
  if (const json::array* array = value.if_array()) {
    for (const json::value& member : *array)
      std::cout << space << "- " << json::serialize(member) << '\n';
    return;
  }
  std::cout << space << json::serialize(value) << '\n';
}

std::string PercentEncode(const std::string& text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.') {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += kDigits[byte >> 4];
    escaped += kDigits[byte & 0xf];
  }
  return escaped;
}

}  // namespace

int RunStatus(const CommandLine& line) {
  if (line.admin_addresses.empty())
    return ReportMissingOption("--admin");
  int exit_code = kExitOk;
  json::object statuses;
  for (const std::string& address : line.admin_addresses) {
    const auto status = QueryInstance(address, "/status", line.timeout);
    if (!status) {
      std::cerr << "pollenrudderctl: " << status.error().message << '\n';
      exit_code = kExitFailure;
      continue;
    }
    statuses[address] = status.value();
  }
  if (line.json)
    std::cout << json::serialize(statuses) << '\n';
  else
    PrintValue(statuses, 0);
  return exit_code;
}

int RunRoute(const CommandLine& line) {
  if (line.admin_addresses.size() != 1)
    return ReportMissingOption("one --admin");
  if (line.service.empty())
    return ReportMissingOption("--service");
  const std::string target = "/route?service=" + PercentEncode(line.service) +
                             "&key=" + PercentEncode(line.key);
  const auto route =
      QueryInstance(line.admin_addresses.front(), target, line.timeout);
  if (!route) {
    std::cerr << "pollenrudderctl: " << route.error().message << '\n';
    return kExitFailure;
  }
  if (line.json)
    std::cout << json::serialize(route.value()) << '\n';
  else
    PrintValue(route.value(), 0);
  return kExitOk;
}

}  // namespace pollenrudder
