// Entry point of pollenrudder_load, an open-loop load generator.

#include <getopt.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

#include "tests/load/latency_plot.h"
#include "tests/load/load_generator.h"

namespace pollenrudder {
namespace {

namespace http = boost::beast::http;

constexpr int kUsageExitCode = 2;
constexpr const char* kUsage =
    "usage: pollenrudder_load --target IP:PORT [--target ...] [--rate N]\n"
    "           [--seconds N] [--threads N] [--connections N] [--keys N]\n"
    "           [--zipf S] [--seed N] [--prefix PATH] [--pad BYTES]\n"
    "           [--link IP:PORT] [--svg FILE]\n";

std::optional<LoadOptions> ParseOptions(int argc, char** argv) {
  LoadOptions options;
  const std::map<std::string, std::function<void(const char*)>> setters = {
      {"target", [&](auto* text) { options.targets.emplace_back(text); }},
      {"rate", [&](auto* text) { options.rate = std::atof(text); }},
      {"seconds",
       [&](auto* text) {
         options.duration = std::chrono::seconds(std::atoi(text));
       }},
      {"threads", [&](auto* text) { options.threads = std::atoi(text); }},
      {"connections",
       [&](auto* text) { options.connections = std::atoi(text); }},
      {"keys", [&](auto* text) { options.keys = std::atoi(text); }},
      {"zipf", [&](auto* text) { options.zipf = std::atof(text); }},
      {"seed",
       [&](auto* text) { options.seed = std::strtoull(text, nullptr, 10); }},
      {"prefix", [&](auto* text) { options.path_prefix = text; }},
      {"pad", [&](auto* text) { options.pad = std::atoi(text); }},
      {"link", [&](auto* text) { options.link = text; }},
      {"svg", [&](auto* text) { options.svg = text; }}};
  std::vector<option> table;
  table.reserve(setters.size() + 1);
  for (const auto& [name, setter] : setters)
    table.push_back({name.c_str(), required_argument, nullptr, 1});
  table.push_back({nullptr, 0, nullptr, 0});
  for (int index = 0;;) {
    const int option_code = getopt_long(argc, argv, "", table.data(), &index);
    if (option_code == -1)
      break;
    if (option_code != 1)
      return std::nullopt;
    setters.at(table[static_cast<std::size_t>(index)].name)(optarg);
  }
  if (options.targets.empty() || optind != argc || options.rate <= 0 ||
      options.threads == 0 || options.connections == 0 || options.keys == 0)
    return std::nullopt;
  return options;
}

// Returns the bytes relayed by all links of a link stand-in.
std::uint64_t ReadLinkBytes(const std::string& address) {
  if (address.empty())
    return 0;
  const auto colon = address.rfind(':');
  boost::asio::io_context context;
  boost::beast::tcp_stream stream(context);
  stream.connect(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(address.substr(0, colon)),
      static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))));
  http::request<http::empty_body> request(http::verb::get, "/standin/counts",
                                          11);
  http::write(stream, request);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(stream, buffer, response);
  std::uint64_t bytes = 0;
  const boost::json::value counts = boost::json::parse(response.body());
  for (const auto& [name, link] : counts.as_object()) {
    bytes += link.at("bytes_forth").to_number<std::uint64_t>() +
             link.at("bytes_back").to_number<std::uint64_t>();
  }
  return bytes;
}

void PrintRow(const std::string& name, double value, const char* unit) {
  std::cout << std::left << std::setw(28) << name << std::right << std::setw(12)
            << std::fixed << std::setprecision(3) << value << ' ' << unit
            << '\n';
}

void PrintTable(const LoadOptions& options,
                const LoadResult& result,
                std::uint64_t link_bytes) {
  const auto milliseconds = [&](double share) {
    return static_cast<double>(result.Quantile(share).count()) / 1000;
  };
  const auto seconds = static_cast<double>(options.duration.count());
  PrintRow("seed", static_cast<double>(options.seed), "");
  PrintRow("offered", static_cast<double>(result.sent) / seconds, "requests/s");
  PrintRow("goodput", static_cast<double>(result.latencies.size()) / seconds,
           "requests/s");
  PrintRow("p50", milliseconds(0.5), "ms");
  PrintRow("p99", milliseconds(0.99), "ms");
  PrintRow("p999", milliseconds(0.999), "ms");
  PrintRow("max", milliseconds(1), "ms");
  PrintRow("wrong answers", static_cast<double>(result.invalid_responses), "");
  PrintRow("busiest upstream / mean", result.Imbalance(), "");
  if (!options.link.empty())
    PrintRow("link", static_cast<double>(link_bytes) / seconds, "bytes/s");
  for (const auto& [error, count] : result.errors)
    PrintRow("error " + error, static_cast<double>(count), "");
}

int Run(int argc, char** argv) {
  const std::optional<LoadOptions> options = ParseOptions(argc, argv);
  if (!options) {
    std::cerr << kUsage;
    return kUsageExitCode;
  }
  const std::uint64_t link_bytes_before = ReadLinkBytes(options->link);
  std::vector<LoadResult> results(options->threads);
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < options->threads; ++number) {
    threads.emplace_back([&, number] {
      results[number] = LoadGenerator(*options, number).Run();
    });
  }
  LoadResult total;
  for (std::size_t number = 0; number < options->threads; ++number) {
    threads[number].join();
    total.Add(results[number]);
  }
  PrintTable(*options, total, ReadLinkBytes(options->link) - link_bytes_before);
  if (!options->svg.empty()) {
    std::ofstream file(options->svg);
    file << DrawLatencyPlot(
        total, std::to_string(static_cast<int>(options->rate)) +
                   " requests/s, seed " + std::to_string(options->seed));
  }
  return total.invalid_responses == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pollenrudder

int main(int argc, char** argv) {
  return pollenrudder::Run(argc, argv);
}
