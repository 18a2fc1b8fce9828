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

// Keeps idle links for the next call. The most recently used is taken first, so
// that surplus ones grow old and are closed.
class HttpClientPool {
 public:
  // Idle links are closed after this; below the idle time-outs of usual
  // servers, so that a request rarely meets a closing connection.
  static constexpr std::chrono::seconds kMaxIdle{7};
  // A link for a request that must not be lost has answered this recently: an
  // older one may be dead without a sign.
  static constexpr std::chrono::milliseconds kRecentUseLimit{1500};
  // The part of the time an upstream announces for which a link is used.
  static constexpr double kKeepAliveShare = 0.7;

  HttpClientPool(boost::asio::io_context& io,
                 const boost::asio::ip::tcp::endpoint& endpoint);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Returns an idle link, or a new one.
  std::shared_ptr<HttpClient> Take(bool fresh, BootTime now);
  // Keeps the link if it can be used again.
  void Return(std::shared_ptr<HttpClient> link);
  void CloseIdle(BootTime now);

 private:
  static BootTime UsableUntil(const HttpClient& link);

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  // Invariant: the most recently used is last.
  std::vector<std::shared_ptr<HttpClient>> idle_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_HTTP_CLIENT_POOL_H_
