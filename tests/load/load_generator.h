// Open-loop request generator; the load tool runs one per thread.

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

// Issues requests at their scheduled times without waiting for earlier
// responses. A request waits if all connections are busy, and its latency
// includes the wait.
class LoadGenerator {
 public:
  LoadGenerator(const LoadOptions& options, std::size_t thread_number);

  // Returns after the duration of the load and the end of the last request.
  LoadResult Run();

 private:
  using Clock = std::chrono::steady_clock;

  struct DueRequest {
    Clock::time_point due;
    std::string target;
    std::string tag;
  };
  // A target address, its queued requests and the timers that wake up its idle
  // connections.
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
  // Cumulative weights of the keys in the Zipf distribution.
  std::vector<double> cumulative_key_shares_;
  std::vector<Target> targets_;
  bool finished_ = false;
  LoadResult result_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_TESTS_LOAD_LOAD_GENERATOR_H_
