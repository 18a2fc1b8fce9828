// HttpClientPool: a stack of idle links.

#include "entry/http_client_pool.h"

#include <algorithm>
#include <utility>

namespace pollenrudder {

HttpClientPool::HttpClientPool(boost::asio::io_context& io,
                               const boost::asio::ip::tcp::endpoint& endpoint)
    : io_(io), endpoint_(endpoint) {}

HttpClientPool::~HttpClientPool() {
  for (const auto& link : idle_)
    link->Abort();
}

std::shared_ptr<HttpClient> HttpClientPool::Take(bool fresh, BootTime now) {
  while (!idle_.empty()) {
    auto link = idle_.back();
    if (fresh && now > link->last_response_time() + kRecentUseLimit)
      break;
    idle_.pop_back();
    if (link->IsReusable() && now < UsableUntil(*link))
      return link;
    link->Abort();
  }
  return HttpClient::Create(io_, endpoint_);
}

void HttpClientPool::Return(std::shared_ptr<HttpClient> link) {
  if (link->IsReusable() && link->IsConnected())
    idle_.push_back(std::move(link));
}

void HttpClientPool::CloseIdle(BootTime now) {
  std::erase_if(idle_, [&](const std::shared_ptr<HttpClient>& link) {
    if (link->IsReusable() && now < UsableUntil(*link))
      return false;
    link->Abort();
    return true;
  });
}

BootTime HttpClientPool::UsableUntil(const HttpClient& link) {
  const BootTime own = link.last_response_time() + kMaxIdle;
  if (link.idle_deadline() == BootTime::max())
    return own;
  const auto announced = link.idle_deadline() - link.last_response_time();
  const auto used = std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(announced.count()) * kKeepAliveShare));
  return std::min(own, link.last_response_time() + used);
}

}  // namespace pollenrudder
