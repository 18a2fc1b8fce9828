// HttpClientPool: a stack of idle connections.

#include "entry/http_client_pool.h"

#include <algorithm>
#include <utility>

namespace pollenrudder {

HttpClientPool::HttpClientPool(boost::asio::io_context& io,
                               const boost::asio::ip::tcp::endpoint& endpoint)
    : io_(io), endpoint_(endpoint) {}

HttpClientPool::~HttpClientPool() {
  for (const auto& client : idle_)
    client->Abort();
}

std::shared_ptr<HttpClient> HttpClientPool::Take(
    bool is_repeatable,
    const std::vector<std::weak_ptr<HttpClient>>& excluded,
    BootTime now) {
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if (!is_repeatable && now > (*it)->last_response_time() + kRecentUseLimit)
      break;
    if (!is_repeatable && (*it)->has_unidentified_response())
      continue;
    const bool is_excluded = std::ranges::any_of(
        excluded, [&](const auto& client) { return client.lock() == *it; });
    if (is_excluded)
      continue;
    auto client = std::move(*it);
    it = idle_.erase(it);
    if (client->IsReusable() && now < UsableUntil(*client))
      return client;
    client->Abort();
  }
  return HttpClient::Create(io_, endpoint_);
}

void HttpClientPool::Return(std::shared_ptr<HttpClient> client) {
  if (client->IsReusable() && client->IsConnected())
    idle_.push_back(std::move(client));
}

void HttpClientPool::CloseIdle(BootTime now) {
  std::erase_if(idle_, [&](const std::shared_ptr<HttpClient>& client) {
    if (client->IsReusable() && now < UsableUntil(*client))
      return false;
    client->Abort();
    return true;
  });
}

BootTime HttpClientPool::UsableUntil(const HttpClient& client) {
  const BootTime own_deadline = client.last_response_time() + kMaxIdle;
  if (client.idle_deadline() == BootTime::max())
    return own_deadline;
  const auto announced = client.idle_deadline() - client.last_response_time();
  const auto usable_time = std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(announced.count()) * kKeepAliveShare));
  return std::min(own_deadline, client.last_response_time() + usable_time);
}

}  // namespace pollenrudder
