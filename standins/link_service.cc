// TCP relay with delay, rate limit and cuts per link.

#include "standins/link_service.h"

#include <array>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::size_t kChunkBytes = 64u << 10;
// Limit of buffered chunks per direction of a connection; reads pause at it.
constexpr std::size_t kMaxChunks = 64;
constexpr std::chrono::milliseconds kCutCheckInterval{5};
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

// A listener with its target, settings, counters and open connections.
class LinkService::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& context, tcp::endpoint target)
      : context_(context), target_(std::move(target)) {}

  asio::awaitable<void> AcceptLoop(tcp::acceptor acceptor) {
    for (;;) {
      auto [error, socket] = co_await acceptor.async_accept(kAwaitTuple);
      if (error) {
        co_await Sleep(kCutCheckInterval);
        continue;
      }
      ++connections_;
      asio::co_spawn(context_, Connect(std::move(socket)), asio::detached);
    }
  }

  void Apply(const json::object& settings) {
    if (const json::value* const value = settings.if_contains("delay_ms"))
      delay_ = std::chrono::milliseconds(value->to_number<int>());
    if (const json::value* const value = settings.if_contains("bytes_per_s"))
      bytes_per_second_ = value->to_number<std::uint64_t>();
    if (const json::value* const value = settings.if_contains("cut"))
      cut_ = value->as_string();
    if (const json::value* const value = settings.if_contains("cut_sources")) {
      cut_sources_.clear();
      for (const json::value& source : value->as_array())
        cut_sources_.emplace(source.as_string());
    }
    if (settings.contains("reset")) {
      boost::system::error_code ignored;
      for (tcp::socket* const socket : sockets_)
        socket->close(ignored);
    }
  }

  json::object Counts() const {
    return {{"bytes_forth", bytes_[0]},
            {"bytes_back", bytes_[1]},
            {"connections", connections_},
            {"open", sockets_.size() / 2}};
  }

 private:
  // Direction 0 is from the caller to the target.
  static constexpr std::array<const char*, 2> kDirections = {"forth", "back"};

  struct Chunk {
    asio::steady_timer::time_point due;
    std::vector<char> bytes;
  };

  // The sockets and buffers of a relayed connection.
  struct RelayedConnection {
    explicit RelayedConnection(tcp::socket caller_socket,
                               asio::io_context& context)
        : caller(std::move(caller_socket)),
          target(context),
          source(RemoteAddress(caller)),
          writer_wakeup{asio::steady_timer(context),
                        asio::steady_timer(context)} {}

    tcp::socket caller;
    tcp::socket target;
    const std::string source;
    std::array<std::deque<Chunk>, 2> chunks;
    std::array<bool, 2> ended = {false, false};
    // Canceled to wake up the writer of a direction.
    std::array<asio::steady_timer, 2> writer_wakeup;
  };
  using RelayedConnectionPointer = std::shared_ptr<RelayedConnection>;

  static std::string RemoteAddress(const tcp::socket& socket) {
    boost::system::error_code error;
    return socket.remote_endpoint(error).address().to_string();
  }

  bool IsCut(std::size_t direction, const std::string& source) const {
    return cut_ == "both" || cut_ == kDirections[direction] ||
           cut_sources_.contains(source);
  }

  asio::awaitable<void> Sleep(std::chrono::milliseconds duration) {
    asio::steady_timer timer(context_, duration);
    co_await timer.async_wait(kAwaitTuple);
  }

  asio::awaitable<void> Connect(tcp::socket socket) {
    const auto connection =
        std::make_shared<RelayedConnection>(std::move(socket), context_);
    boost::system::error_code ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    while (IsCut(0, connection->source) || IsCut(1, connection->source))
      co_await Sleep(kCutCheckInterval);
    const auto [error] =
        co_await connection->target.async_connect(target_, kAwaitTuple);
    if (error)
      co_return;
    connection->target.set_option(tcp::no_delay(true), ignored);
    sockets_.insert(&connection->caller);
    sockets_.insert(&connection->target);
    auto self = shared_from_this();
    for (std::size_t direction = 0; direction < 2; ++direction) {
      asio::co_spawn(
          context_,
          [self, connection, direction] {
            return self->Read(connection, direction);
          },
          asio::detached);
    }
    asio::co_spawn(
        context_, [self, connection] { return self->Write(connection, 1); },
        asio::detached);
    co_await Write(connection, 0);
    // The end of one direction closes both: no caller uses half-open
    // connections.
    Close(*connection);
  }

  asio::awaitable<void> Read(RelayedConnectionPointer connection,
                             std::size_t direction) {
    tcp::socket& from =
        direction == 0 ? connection->caller : connection->target;
    for (;;) {
      std::vector<char> bytes(kChunkBytes);
      const auto [error, size] =
          co_await from.async_read_some(asio::buffer(bytes), kAwaitTuple);
      if (error)
        break;
      bytes.resize(size);
      connection->chunks[direction].push_back(
          {asio::steady_timer::clock_type::now() + delay_, std::move(bytes)});
      connection->writer_wakeup[direction].cancel();
      while (connection->chunks[direction].size() >= kMaxChunks &&
             from.is_open())
        co_await Sleep(kCutCheckInterval);
    }
    connection->ended[direction] = true;
    connection->writer_wakeup[direction].cancel();
  }

  asio::awaitable<void> Write(RelayedConnectionPointer connection,
                              std::size_t direction) {
    tcp::socket& to = direction == 0 ? connection->target : connection->caller;
    std::deque<Chunk>& chunks = connection->chunks[direction];
    for (;;) {
      if (chunks.empty()) {
        if (connection->ended[direction])
          break;
        connection->writer_wakeup[direction].expires_at(
            asio::steady_timer::time_point::max());
        co_await connection->writer_wakeup[direction].async_wait(kAwaitTuple);
        continue;
      }
      const Chunk chunk = std::move(chunks.front());
      chunks.pop_front();
      asio::steady_timer timer(context_, chunk.due);
      co_await timer.async_wait(kAwaitTuple);
      while (IsCut(direction, connection->source))
        co_await Sleep(kCutCheckInterval);
      const auto [error, size] = co_await asio::async_write(
          to, asio::buffer(chunk.bytes), kAwaitTuple);
      bytes_[direction] += size;
      if (error)
        break;
      if (bytes_per_second_ > 0) {
        co_await Sleep(
            std::chrono::milliseconds(size * 1000 / bytes_per_second_));
      }
    }
    Close(*connection);
  }

  void Close(RelayedConnection& connection) {
    boost::system::error_code ignored;
    for (tcp::socket* const socket : {&connection.caller, &connection.target}) {
      sockets_.erase(socket);
      socket->close(ignored);
    }
    for (asio::steady_timer& timer : connection.writer_wakeup)
      timer.cancel();
    connection.ended = {true, true};
    for (auto& chunks : connection.chunks)
      chunks.clear();
  }

  asio::io_context& context_;
  const tcp::endpoint target_;
  std::chrono::milliseconds delay_{0};
  std::uint64_t bytes_per_second_ = 0;
  std::string cut_ = "none";
  std::set<std::string> cut_sources_;
  std::set<tcp::socket*> sockets_;
  std::array<std::uint64_t, 2> bytes_ = {0, 0};
  std::uint64_t connections_ = 0;
};

LinkService::LinkService(asio::io_context& context) : HttpService(context) {}
LinkService::~LinkService() = default;

bool LinkService::StartLinks(const StandinOptions& options) {
  for (const auto& [name, target] : options.links) {
    const auto colon = target.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(target.substr(0, colon), error);
    tcp::acceptor acceptor = ListenOn(context(), name, "127.0.0.1:0");
    if (error || !acceptor.is_open())
      return false;
    const auto link = std::make_shared<Link>(
        context(), tcp::endpoint(ip, static_cast<unsigned short>(
                                         std::stoi(target.substr(colon + 1)))));
    links_[name] = link;
    asio::co_spawn(context(), link->AcceptLoop(std::move(acceptor)),
                   asio::detached);
  }
  return Start(options);
}

asio::awaitable<std::optional<HttpService::Response>> LinkService::Handle(
    const Request&,
    Connection&) {
  co_return EmptyResponse(404);
}

HttpService::Response LinkService::HandleControl(const Request& request) {
  if (RequestPath(request) != "/standin/counts")
    return EmptyResponse(404);
  json::object counts;
  for (const auto& [name, link] : links_)
    counts[name] = link->Counts();
  return JsonResponse(200, counts);
}

void LinkService::ApplySettings(const json::object& settings) {
  HttpService::ApplySettings(settings);
  const json::value* const links = settings.if_contains("links");
  if (!links)
    return;
  for (const auto& [name, link_settings] : links->as_object()) {
    for (const auto& [link_name, link] : links_) {
      if (name == "*" || name == link_name)
        link->Apply(link_settings.as_object());
    }
  }
}

}  // namespace pollenrudder
