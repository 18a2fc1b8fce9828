// The connections of this instance to one upstream.

#ifndef POLLENRUDDER_ENTRY_HTTP_CLIENT_POOL_H_
#define POLLENRUDDER_ENTRY_HTTP_CLIENT_POOL_H_

#include <chrono>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/boot_clock.h"
#include "entry/http_client.h"

namespace pollenrudder {

// Keeps idle connections for the next call. The most recently used one is taken
// first, so that surplus connections expire and are closed.
class HttpClientPool {
 public:
  // Idle connections are closed after this time. It is below the idle timeouts
  // of usual servers, so that a request rarely meets a closing connection.
  static constexpr std::chrono::seconds kMaxIdle{7};
  // A connection for a request that is not repeatable must have had a response
  // this recently, because an older one may be broken without any indication.
  static constexpr std::chrono::milliseconds kRecentUseLimit{1500};
  // The share of the keep-alive timeout announced by an upstream for which a
  // connection is used.
  static constexpr double kKeepAliveShare = 0.7;

  HttpClientPool(boost::asio::io_context& io,
                 const boost::asio::ip::tcp::endpoint& endpoint);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Returns an idle connection, or a new one. `is_repeatable` also allows
  // connections without a response within kRecentUseLimit, and those with a
  // response that named no call. Connections in `excluded` stay idle for other
  // calls.
  std::shared_ptr<HttpClient> Take(
      bool is_repeatable,
      const std::vector<std::weak_ptr<HttpClient>>& excluded,
      BootTime now);
  // Keeps the connection if it can be used again.
  void Return(std::shared_ptr<HttpClient> client);
  void CloseIdle(BootTime now);

 private:
  static BootTime UsableUntil(const HttpClient& client);

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  // Invariant: the most recently used connection is last.
  std::vector<std::shared_ptr<HttpClient>> idle_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_CLIENT_POOL_H_
