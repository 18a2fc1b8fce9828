// Record of one request that an upstream stand-in ran.

#ifndef POLLENRUDDER_STANDINS_EXECUTION_H_
#define POLLENRUDDER_STANDINS_EXECUTION_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

// One line of the journal, from which tests check that a request ran at most
// once and under the newest epoch.
struct Execution {
  // The `tag` query parameter, unique per request of a test.
  std::string tag;
  std::string request_id;
  std::string shard;
  std::uint64_t fence = 0;
  // Start time, in milliseconds on the boot clock.
  std::int64_t started = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_EXECUTION_H_
