// Entry point of pollenrudder_standin, which replaces the external systems of
// pollenrudder in tests: log, instance list, upstreams and network.

#include <getopt.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "standins/instance_list_service.h"
#include "standins/link_service.h"
#include "standins/log_service.h"
#include "standins/standin_options.h"
#include "standins/upstream_service.h"

namespace pollenrudder {
namespace {

constexpr int kUsageExitCode = 2;
constexpr const char* kUsage =
    "usage: pollenrudder_standin log|instances|upstream|link\n"
    "           [--listen [NAME=]IP:PORT]... [--link NAME=IP:PORT]...\n"
    "           [--set JSON]\n";

std::pair<std::string, std::string> SplitName(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos)
    return {"main", text};
  return {text.substr(0, equals), text.substr(equals + 1)};
}

std::optional<StandinOptions> ParseOptions(int argc, char** argv) {
  static const option option_table[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"link", required_argument, nullptr, 'k'},
      {"set", required_argument, nullptr, 's'},
      {nullptr, 0, nullptr, 0}};
  StandinOptions options;
  for (int option_code = 0;
       (option_code = getopt_long(argc, argv, "", option_table, nullptr)) !=
       -1;) {
    if (option_code == 'l') {
      options.listeners.push_back(SplitName(optarg));
    } else if (option_code == 'k') {
      options.links.push_back(SplitName(optarg));
    } else if (option_code == 's') {
      boost::json::error_code error;
      boost::json::value value = boost::json::parse(optarg, error);
      if (error || !value.is_object())
        return std::nullopt;
      options.settings = std::move(value.get_object());
    } else {
      return std::nullopt;
    }
  }
  if (optind != argc - 1)
    return std::nullopt;
  options.kind = argv[optind];
  if (options.listeners.empty())
    options.listeners.emplace_back("main", "127.0.0.1:0");
  return options;
}

template <typename Service>
int RunService(const StandinOptions& options) {
  boost::asio::io_context context(1);
  Service service(context);
  if (!service.Start(options))
    return 1;
  context.run();
  return 0;
}

int Run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::optional<StandinOptions> options = ParseOptions(argc, argv);
  if (options && options->kind == "log")
    return RunService<LogService>(*options);
  if (options && options->kind == "instances")
    return RunService<InstanceListService>(*options);
  if (options && options->kind == "upstream")
    return RunService<UpstreamService>(*options);
  if (options && options->kind == "link") {
    boost::asio::io_context context(1);
    LinkService service(context);
    if (!service.StartLinks(*options))
      return 1;
    context.run();
    return 0;
  }
  std::cerr << kUsage;
  return kUsageExitCode;
}

}  // namespace
}  // namespace pollenrudder

int main(int argc, char** argv) {
  return pollenrudder::Run(argc, argv);
}
