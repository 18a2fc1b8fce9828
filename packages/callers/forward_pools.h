// Client for the forward ports of other instances.

#ifndef POLLENRUDDER_CALLERS_FORWARD_POOLS_H_
#define POLLENRUDDER_CALLERS_FORWARD_POOLS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "upstreams/connection_pool.h"

namespace pollenrudder {

// Sends requests to other instances over pooled keep-alive connections. Each
// ingress thread has its own object and is the only one to use it.
class ForwardPools {
 public:
  // Connections per instance and thread. Further requests are queued.
  static constexpr std::uint32_t kMaxConnections = 64;
  static constexpr std::size_t kMaxQueuedRequests = 1024;

  using Handler = std::function<void(HttpClientConnection::ExchangeResult)>;

  explicit ForwardPools(boost::asio::io_context& io);
  ~ForwardPools();
  ForwardPools(const ForwardPools&) = delete;
  ForwardPools& operator=(const ForwardPools&) = delete;

  // Sends `request` to the instance at `address` and calls the handler once,
  // with kNotWritten if no connection is available. Returns a number for
  // Cancel(). The handler is never called before Send() returns.
  std::uint64_t Send(const std::string& address,
                     std::string request,
                     bool head_request,
                     Handler handler);
  // Cancels a request without calling its handler. Closes the connection if the
  // request was sent. Has no effect if the request has ended.
  void Cancel(const std::string& address, std::uint64_t number);
  // Closes connections that exceed the connect timeout. Call it periodically.
  void CancelOverdueConnects(BootTime now);

 private:
  class Peer;

  Peer& PeerOf(const std::string& address);

  boost::asio::io_context& io_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
  std::uint64_t next_number_ = 1;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_FORWARD_POOLS_H_
