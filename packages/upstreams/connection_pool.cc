// Implementation of ConnectionPool.

#include "upstreams/connection_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {

ConnectionPool::ConnectionPool(StreamFactory factory,
                               boost::asio::ip::tcp::endpoint endpoint,
                               std::uint32_t limit,
                               const ParseLimits& limits,
                               Listener& listener)
    : factory_(std::move(factory)),
      endpoint_(std::move(endpoint)),
      limits_(limits),
      listener_(listener),
      limit_(limit),
      alive_(std::make_shared<ConnectionPool*>(this)) {}

ConnectionPool::~ConnectionPool() {
  *alive_ = nullptr;
  CloseIdle();
}

ConnectionPool::Connection ConnectionPool::Acquire() {
  while (!idle_.empty()) {
    Connection connection = std::move(idle_.back());
    idle_.pop_back();
    connection->set_on_idle_end(nullptr);
    if (connection->usable())
      return connection;
    Discard(connection);
  }
  return nullptr;
}

void ConnectionPool::Open(OpenHandler handler) {
  assert(CanOpen());
  ++count_;
  Connection connection = HttpClientConnection::Create(factory_(), limits_);
  HttpClientConnection& opening = *connection;
  std::erase_if(opening_, [](const Opening& entry) {
    const auto open = entry.connection.lock();
    return !open || open->open();
  });
  opening_.push_back({BootClock::now(), connection});
  opening.Connect(endpoint_,
                  [alive = alive_, connection = std::move(connection),
                   handler = std::move(handler)](auto error) {
                    ConnectionPool* const pool = *alive;
                    if (!pool) {
                      connection->Close();
                      return;
                    }
                    if (error) {
                      --pool->count_;
                      handler(nullptr, error);
                      return;
                    }
                    handler(connection, error);
                  });
}

void ConnectionPool::Return(const Connection& connection) {
  if (!connection->usable() || count_ > limit_) {
    Discard(connection);
    return;
  }
  connection->set_on_idle_end(
      [alive = alive_, ended = connection.get()](bool orderly) {
        if (*alive)
          (*alive)->OnIdleEnd(ended, orderly);
      });
  idle_.push_back(connection);
}

void ConnectionPool::Discard(const Connection& connection) {
  assert(count_ > 0);
  --count_;
  connection->Close();
}

void ConnectionPool::CloseIdle() {
  for (const Connection& connection : std::exchange(idle_, {}))
    Discard(connection);
}

void ConnectionPool::CancelOverdueConnects(BootTime now,
                                           std::chrono::nanoseconds limit) {
  std::erase_if(opening_, [&](const Opening& entry) {
    const Connection connection = entry.connection.lock();
    if (!connection || connection->open())
      return true;
    if (now - entry.started < limit)
      return false;
    // The pending connect fails; Open() handles the error.
    connection->Close();
    return true;
  });
}

void ConnectionPool::OnIdleEnd(const HttpClientConnection* connection,
                               bool orderly) {
  const auto found = std::ranges::find(idle_, connection, &Connection::get);
  if (found == idle_.end())
    return;
  const Connection ended = std::move(*found);
  idle_.erase(found);
  Discard(ended);
  listener_.OnIdleConnectionEnded(orderly);
}

}  // namespace pollenrudder
