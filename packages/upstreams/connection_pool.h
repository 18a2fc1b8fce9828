// The connections of one leader to one upstream.

#ifndef POLLENRUDDER_UPSTREAMS_CONNECTION_POOL_H_
#define POLLENRUDDER_UPSTREAMS_CONNECTION_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "base/boot_clock.h"
#include "upstreams/http_client_connection.h"

namespace pollenrudder {

// Keeps idle connections and counts all of them, so that their number never
// exceeds the limit. A connection that was taken is given back by Give() or
// Discard(). Used on one thread.
class ConnectionPool {
 public:
  using Connection = std::shared_ptr<HttpClientConnection>;
  // Creates the stream of a new connection.
  using StreamFactory = std::function<std::unique_ptr<ByteStream>()>;
  // The connection, or null if it could not be opened.
  using OpenHandler = std::function<void(Connection)>;

  class Listener {
   public:
    virtual ~Listener() = default;
    // An idle connection ended. A server that closes idle connections in
    // order still accepts new ones; `orderly` does not prove that it does.
    virtual void OnIdleConnectionEnded(bool orderly) = 0;
  };

  ConnectionPool(StreamFactory factory,
                 boost::asio::ip::tcp::endpoint endpoint,
                 std::uint32_t limit,
                 const ParseLimits& limits,
                 Listener& listener);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Returns an idle connection, or null.
  Connection Take();
  bool CanOpen() const { return count_ < limit_; }
  // Precondition: CanOpen(). The handler is not called after the pool ended.
  void Open(OpenHandler handler);
  void Give(const Connection& connection);
  void Discard(const Connection& connection);
  void CloseIdle();
  // Gives up connections that have been opening for longer than `limit`.
  void ExpireOpening(BootTime now, std::chrono::nanoseconds limit);

  void set_limit(std::uint32_t limit) { limit_ = limit; }
  std::uint32_t count() const { return count_; }

 private:
  void OnIdleEnd(const HttpClientConnection* connection, bool orderly);

  const StreamFactory factory_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const ParseLimits limits_;
  Listener& listener_;
  std::uint32_t limit_;
  // Connections that are opening, taken or idle. At most limit_, unless the
  // limit was lowered since they were opened.
  std::uint32_t count_ = 0;
  // The connection used last is taken first, so that the others can age.
  std::vector<Connection> idle_;
  struct Opening {
    BootTime started;
    std::weak_ptr<HttpClientConnection> connection;
  };
  std::vector<Opening> opening_;
  // Becomes null in handlers that outlive the pool.
  std::shared_ptr<ConnectionPool*> alive_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_CONNECTION_POOL_H_
