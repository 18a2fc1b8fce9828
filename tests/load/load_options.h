// Command line options of the load tool.

#ifndef POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_
#define POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenrudder {

// Parameters of a run. Runs with the same seed request the same keys at the
// same times.
struct LoadOptions {
  // "ip:port" of instances, which get requests in round-robin order.
  std::vector<std::string> targets;
  // Requests per second of all threads; arrivals are a Poisson process.
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
  // A request without a response counts as lost after this time.
  std::chrono::milliseconds timeout{10000};
  // Control address of the link stand-in whose bytes are reported; empty for
  // none.
  std::string link;
  // Output file of the latency plot; empty for none.
  std::string svg;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_OPTIONS_H_
