// The command line of the load tool.

#ifndef POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_
#define POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenrudder {

// One run. The same seed sends the same keys at the same times.
struct LoadOptions {
  // "ip:port" of entry instances; requests go to them in turn.
  std::vector<std::string> targets;
  // Requests per second over all threads; arrivals are a Poisson process.
  double rate = 1000;
  std::chrono::seconds duration{10};
  std::size_t threads = 2;
  // Open connections per thread and target.
  std::size_t connections = 64;
  std::size_t keys = 10000;
  // Exponent of the Zipf distribution of keys; 0 is uniform.
  double zipf = 1.0;
  std::uint64_t seed = 1;
  // Requests go to <path_prefix>key-<n>?tag=...&pad=<pad>.
  std::string path_prefix = "/geodata/";
  std::size_t pad = 0;
  // A request without an answer counts as lost after this time.
  std::chrono::milliseconds timeout{10000};
  // Control address of a link stand-in whose bytes are reported; may be empty.
  std::string link;
  // File of the plot; empty for none.
  std::string svg;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_
