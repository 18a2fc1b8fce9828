// ForwardPools: a queue and a connection pool per instance.

#include "callers/forward_pools.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "base/socket_address.h"

namespace pollenrudder {
namespace {

using ExchangeOutcome = HttpClientConnection::ExchangeOutcome;

constexpr std::chrono::milliseconds kConnectTimeout{1000};

}  // namespace

// The connection pool of one instance and the queue of requests for it.
class ForwardPools::Peer final : public ConnectionPool::Listener {
 public:
  Peer(boost::asio::io_context& io, const std::string& address)
      : io_(io),
        pool_(
            [&io] {
              return CreatePlainStream(boost::asio::ip::tcp::socket(io));
            },
            EndpointOf(address),
            kMaxConnections,
            ParseLimits{},
            *this) {}

  ~Peer() override {
    for (const auto& [number, connection] : in_flight_)
      pool_.Discard(connection);
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Send(std::uint64_t number,
            std::string request,
            bool head_request,
            Handler handler) {
    if (queue_.size() >= kMaxQueuedRequests) {
      boost::asio::post(io_, [handler = std::move(handler)] {
        handler({ExchangeOutcome::kNotWritten, {}});
      });
      return;
    }
    queue_.push_back(
        {number, std::move(request), head_request, std::move(handler)});
    SendQueued();
  }

  void Cancel(std::uint64_t number) {
    if (const auto found = in_flight_.find(number); found != in_flight_.end()) {
      const auto connection = std::move(found->second);
      in_flight_.erase(found);
      pool_.Discard(connection);
      SendQueued();
      return;
    }
    std::erase_if(queue_, [number](const QueuedRequest& queued) {
      return queued.number == number;
    });
  }

  void CancelOverdueConnects(BootTime now) {
    pool_.CancelOverdueConnects(now, kConnectTimeout);
  }

  // ConnectionPool::Listener:
  void OnIdleConnectionEnded(bool /*orderly*/) override {}

 private:
  struct QueuedRequest {
    std::uint64_t number = 0;
    std::string request;
    bool head_request = false;
    Handler handler;
  };

  void SendQueued() {
    while (!queue_.empty()) {
      ConnectionPool::Connection connection = pool_.Acquire();
      if (!connection) {
        if (pool_.CanOpen() && opening_ < queue_.size())
          Open();
        return;
      }
      QueuedRequest queued = std::move(queue_.front());
      queue_.pop_front();
      in_flight_.emplace(queued.number, connection);
      connection->Exchange(
          std::move(queued.request), queued.head_request,
          [this, number = queued.number, handler = std::move(queued.handler)](
              HttpClientConnection::ExchangeResult result) {
            OnEnded(number, handler, std::move(result));
          });
    }
  }

  void Open() {
    ++opening_;
    pool_.Open([this](const ConnectionPool::Connection& connection,
                      boost::system::error_code /*error*/) {
      --opening_;
      if (connection) {
        pool_.Return(connection);
        SendQueued();
        return;
      }
      // The instance is unreachable, so all queued requests fail unsent.
      for (QueuedRequest& queued : std::exchange(queue_, {}))
        queued.handler({ExchangeOutcome::kNotWritten, {}});
    });
  }

  void OnEnded(std::uint64_t number,
               const Handler& handler,
               HttpClientConnection::ExchangeResult result) {
    const auto found = in_flight_.find(number);
    const auto connection = std::move(found->second);
    in_flight_.erase(found);
    if (result.end == ExchangeOutcome::kAnswered)
      pool_.Return(connection);
    else
      pool_.Discard(connection);
    handler(std::move(result));
    SendQueued();
  }

  boost::asio::io_context& io_;
  ConnectionPool pool_;
  std::deque<QueuedRequest> queue_;
  std::unordered_map<std::uint64_t, ConnectionPool::Connection> in_flight_;
  std::size_t opening_ = 0;
};

ForwardPools::ForwardPools(boost::asio::io_context& io) : io_(io) {}
ForwardPools::~ForwardPools() = default;

ForwardPools::Peer& ForwardPools::PeerOf(const std::string& address) {
  std::unique_ptr<Peer>& peer = peers_[address];
  if (!peer)
    peer = std::make_unique<Peer>(io_, address);
  return *peer;
}

std::uint64_t ForwardPools::Send(const std::string& address,
                                 std::string request,
                                 bool head_request,
                                 Handler handler) {
  const std::uint64_t number = next_number_++;
  PeerOf(address).Send(number, std::move(request), head_request,
                       std::move(handler));
  return number;
}

void ForwardPools::Cancel(const std::string& address, std::uint64_t number) {
  PeerOf(address).Cancel(number);
}

void ForwardPools::CancelOverdueConnects(BootTime now) {
  for (const auto& [address, peer] : peers_)
    peer->CancelOverdueConnects(now);
}

}  // namespace pollenrudder
