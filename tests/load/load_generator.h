// One thread of the load tool.

#ifndef POLLENRUDDER_TESTS_LOAD_LOAD_GENERATOR_H_
#define POLLENRUDDER_TESTS_LOAD_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "tests/load/load_options.h"
#include "tests/load/load_result.h"

namespace pollenrudder {

// Sends requests when they are due, whether or not earlier ones were answered:
// an open loop. A request that finds no free connection waits for one, and its
// latency includes that wait.
class LoadGenerator {
 public:
  LoadGenerator(const LoadOptions& options, std::size_t thread_number);

  // Runs to the end of the load and of the last answer.
  LoadResult Run();

 private:
  using Clock = std::chrono::steady_clock;

  struct DueRequest {
    Clock::time_point due;
    std::string target;
    std::string tag;
  };
  // The connections to one target with their waiting requests.
  struct Target {
    boost::asio::ip::tcp::endpoint endpoint;
    std::string host;
    std::deque<DueRequest> queue;
    std::deque<boost::asio::steady_timer*> idle_wakeups;
  };

  boost::asio::awaitable<void> ScheduleRequests();
  boost::asio::awaitable<void> RunConnection(Target& target);
  boost::asio::awaitable<bool> Send(boost::beast::tcp_stream& stream,
                                    const Target& target,
                                    const DueRequest& request);
  void RecordResponse(const boost::beast::http::response<
                          boost::beast::http::string_body>& response,
                      const DueRequest& request);
  std::size_t PickKey();

  const LoadOptions options_;
  const std::size_t thread_number_;
  boost::asio::io_context context_;
  std::mt19937_64 random_;
  // Cumulative probabilities of the keys.
  std::vector<double> cumulative_key_shares_;
  std::vector<Target> targets_;
  bool finished_ = false;
  LoadResult result_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_GENERATOR_H_
