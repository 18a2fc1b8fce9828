// Pool of keep-alive HTTP connections to one endpoint.

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

// Reuses idle connections and limits the number of connections. The count
// includes connections that are being opened, in use or idle. Take() or Open()
// hands out a connection; return it with Give(), or close it with Discard().
// Used on one thread.
class ConnectionPool {
 public:
  using Connection = std::shared_ptr<HttpClientConnection>;
  // Creates the stream of a new connection.
  using StreamFactory = std::function<std::unique_ptr<ByteStream>()>;
  // Called with the connection, or with null and the error if it could not be
  // opened.
  using OpenHandler =
      std::function<void(const Connection&, boost::system::error_code)>;

  class Listener {
   public:
    virtual ~Listener() = default;
    // An idle connection was closed by the remote side; `orderly` if without an
    // error. An orderly close does not prove that the server still accepts
    // connections.
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

  // Returns the most recently used idle connection, or null.
  Connection Acquire();
  bool CanOpen() const { return count_ < limit_; }
  // Precondition: CanOpen(). The handler is not called once the pool is
  // destroyed.
  void Open(OpenHandler handler);
  void Return(const Connection& connection);
  void Discard(const Connection& connection);
  void CloseIdle();
  // Closes connections that have been opening for at least `limit`; their
  // handlers are called with null.
  void CancelOverdueConnects(BootTime now, std::chrono::nanoseconds limit);

  void set_limit(std::uint32_t limit) { limit_ = limit; }
  std::uint32_t count() const { return count_; }

 private:
  void OnIdleEnd(const HttpClientConnection* connection, bool orderly);

  const StreamFactory factory_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const ParseLimits limits_;
  Listener& listener_;
  std::uint32_t limit_;
  // Number of connections that are opening, in use or idle. At most limit_,
  // unless the limit was lowered after they were opened.
  std::uint32_t count_ = 0;
  // Used as a stack: the most recently used connection is taken first, so that
  // surplus connections stay idle.
  std::vector<Connection> idle_;
  struct Opening {
    BootTime started;
    std::weak_ptr<HttpClientConnection> connection;
  };
  std::vector<Opening> opening_;
  // Shared with pending handlers. Set to null by the destructor.
  std::shared_ptr<ConnectionPool*> alive_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_CONNECTION_POOL_H_
