// Coroutines of the scheduler and of each connection, on one thread.

#include "tests/load/load_generator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

// Returns a string field of the upstream stand-in's flat JSON object.
std::string JsonTextField(const std::string& body, const std::string& name) {
  const std::string start = "\"" + name + "\":\"";
  const auto position = body.find(start);
  if (position == std::string::npos)
    return {};
  const auto begin = position + start.size();
  return body.substr(begin, body.find('"', begin) - begin);
}

}  // namespace

LoadGenerator::LoadGenerator(const LoadOptions& options,
                             std::size_t thread_number)
    : options_(options),
      thread_number_(thread_number),
      context_(1),
      random_(options.seed * 1000003 + thread_number) {
  double sum = 0;
  for (std::size_t key = 1; key <= options.keys; ++key) {
    sum += std::pow(static_cast<double>(key), -options.zipf);
    cumulative_key_shares_.push_back(sum);
  }
  for (const std::string& address : options.targets) {
    const auto colon = address.rfind(':');
    Target target;
    target.host = address;
    target.endpoint = {
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
    targets_.push_back(std::move(target));
  }
}

LoadResult LoadGenerator::Run() {
  for (Target& target : targets_) {
    for (std::size_t index = 0; index < options_.connections; ++index)
      asio::co_spawn(context_, RunConnection(target), asio::detached);
  }
  asio::co_spawn(context_, ScheduleRequests(), asio::detached);
  context_.run();
  std::sort(result_.latencies.begin(), result_.latencies.end());
  return std::move(result_);
}

std::size_t LoadGenerator::PickKey() {
  std::uniform_real_distribution<double> share(0,
                                               cumulative_key_shares_.back());
  const auto found =
      std::lower_bound(cumulative_key_shares_.begin(),
                       cumulative_key_shares_.end(), share(random_));
  return static_cast<std::size_t>(found - cumulative_key_shares_.begin());
}

asio::awaitable<void> LoadGenerator::ScheduleRequests() {
  const double rate = options_.rate / static_cast<double>(options_.threads);
  std::exponential_distribution<double> interarrival_time(rate);
  const auto start = Clock::now();
  auto due = start;
  asio::steady_timer timer(context_);
  while (due < start + options_.duration) {
    if (due > Clock::now()) {
      timer.expires_at(due);
      co_await timer.async_wait(kAwaitTuple);
    }
    Target& target = targets_[result_.sent % targets_.size()];
    const std::string tag =
        std::to_string(thread_number_) + "-" + std::to_string(++result_.sent);
    target.queue.push_back({due,
                            options_.path_prefix + "key-" +
                                std::to_string(PickKey()) + "?tag=" + tag +
                                "&pad=" + std::to_string(options_.pad),
                            tag});
    if (!target.idle_wakeups.empty()) {
      target.idle_wakeups.back()->cancel();
      target.idle_wakeups.pop_back();
    }
    due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(interarrival_time(random_)));
  }
  finished_ = true;
  for (Target& target : targets_) {
    for (asio::steady_timer* const connection : target.idle_wakeups)
      connection->cancel();
    target.idle_wakeups.clear();
  }
}

asio::awaitable<void> LoadGenerator::RunConnection(Target& target) {
  boost::beast::tcp_stream stream(context_);
  asio::steady_timer wakeup(context_);
  bool connected = false;
  for (;;) {
    if (target.queue.empty()) {
      if (finished_)
        co_return;
      wakeup.expires_at(asio::steady_timer::time_point::max());
      target.idle_wakeups.push_back(&wakeup);
      co_await wakeup.async_wait(kAwaitTuple);
      continue;
    }
    const DueRequest request = std::move(target.queue.front());
    target.queue.pop_front();
    stream.expires_after(options_.timeout);
    if (!connected) {
      const auto [error] =
          co_await stream.async_connect(target.endpoint, kAwaitTuple);
      boost::system::error_code ignored;
      stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      connected = !error;
    }
    if (connected)
      connected = co_await Send(stream, target, request);
    else
      ++result_.errors["lost"];
    if (!connected) {
      boost::system::error_code ignored;
      stream.socket().close(ignored);
    }
  }
}

asio::awaitable<bool> LoadGenerator::Send(boost::beast::tcp_stream& stream,
                                          const Target& target,
                                          const DueRequest& request) {
  http::request<http::empty_body> message(http::verb::get, request.target,
                                          kHttp11);
  message.set(http::field::host, target.host);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  const auto [write_error, sent] =
      co_await http::async_write(stream, message, kAwaitTuple);
  if (write_error) {
    ++result_.errors["lost"];
    co_return false;
  }
  const auto [read_error, received] =
      co_await http::async_read(stream, buffer, response, kAwaitTuple);
  if (read_error) {
    ++result_.errors["lost"];
    co_return false;
  }
  RecordResponse(response, request);
  co_return response.keep_alive();
}

void LoadGenerator::RecordResponse(
    const http::response<http::string_body>& response,
    const DueRequest& request) {
  if (response.result() != http::status::ok) {
    const auto error = response["Pollenrudder-Error"];
    ++result_.errors[error.empty()
                         ? "status " + std::to_string(response.result_int())
                         : std::string(error)];
    return;
  }
  if (JsonTextField(response.body(), "tag") != request.tag ||
      JsonTextField(response.body(), "pad").size() != options_.pad) {
    ++result_.invalid_responses;
    return;
  }
  ++result_.upstreams[JsonTextField(response.body(), "upstream")];
  result_.latencies.push_back(
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                            request.due));
}

}  // namespace pollenrudder
