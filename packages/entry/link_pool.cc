// LinkPool: a stack of idle links.

#include "entry/link_pool.h"

#include <algorithm>
#include <utility>

namespace pollenrudder {

LinkPool::LinkPool(boost::asio::io_context& io,
                   const boost::asio::ip::tcp::endpoint& endpoint)
    : io_(io), endpoint_(endpoint) {}

LinkPool::~LinkPool() {
  for (const auto& link : idle_)
    link->Abort();
}

std::shared_ptr<HttpLink> LinkPool::Take(bool fresh, BootTime now) {
  while (!idle_.empty()) {
    auto link = idle_.back();
    if (fresh && now > link->last_answer() + kFreshFor)
      break;
    idle_.pop_back();
    if (link->IsReusable() && now < UsableUntil(*link))
      return link;
    link->Abort();
  }
  return HttpLink::Create(io_, endpoint_);
}

void LinkPool::Return(std::shared_ptr<HttpLink> link) {
  if (link->IsReusable() && link->IsConnected())
    idle_.push_back(std::move(link));
}

void LinkPool::CloseIdle(BootTime now) {
  std::erase_if(idle_, [&](const std::shared_ptr<HttpLink>& link) {
    if (link->IsReusable() && now < UsableUntil(*link))
      return false;
    link->Abort();
    return true;
  });
}

BootTime LinkPool::UsableUntil(const HttpLink& link) {
  const BootTime own = link.last_answer() + kMaxIdle;
  if (link.idle_until() == BootTime::max())
    return own;
  const auto announced = link.idle_until() - link.last_answer();
  const auto used = std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(announced.count()) * kIdleShare));
  return std::min(own, link.last_answer() + used);
}

}  // namespace pollenrudder
