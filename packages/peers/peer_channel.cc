// PeerChannel as a coroutine that runs while calls are queued.

#include "peers/peer_channel.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "peers/peer_messages.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

Error Failed(const std::string& reason) {
  return MakeError(ErrorKind::kPeerProtocol, reason);
}

}  // namespace

PeerChannel::PeerChannel(asio::any_io_executor executor,
                         asio::ip::tcp::endpoint endpoint,
                         JsonRpcClientCodec& codec)
    : executor_(std::move(executor)),
      endpoint_(std::move(endpoint)),
      codec_(codec),
      stream_(executor_) {}

void PeerChannel::Call(const char* method,
                       const std::string& params,
                       std::chrono::milliseconds timeout,
                       Callback callback) {
  if (queue_.size() >= kMaxQueued) {
    callback(Failed("too many calls are queued for the peer"), {});
    return;
  }
  queue_.push_back(
      {codec_.EncodeCall(method, params) + '\n', timeout, std::move(callback)});
  if (running_)
    return;
  running_ = true;
  asio::co_spawn(
      executor_, [self = shared_from_this()] { return self->Run(); },
      asio::detached);
}

asio::awaitable<void> PeerChannel::Run() {
  while (!queue_.empty()) {
    PendingCall call = std::move(queue_.front());
    queue_.pop_front();
    Usage usage;
    const bool reused = connected_;
    stream_.expires_after(call.timeout);
    Result<std::string> response = co_await Exchange(call.message, usage);
    // The peer may have closed an idle connection, so the call is retried once.
    // Every call may be repeated.
    if (!response && reused &&
        response.assume_error().kind != ErrorKind::kUnknownDeadline) {
      stream_.expires_after(call.timeout);
      response = co_await Exchange(call.message, usage);
    }
    call.callback(std::move(response), usage);
  }
  running_ = false;
}

asio::awaitable<Result<std::string>> PeerChannel::Exchange(
    const std::string& message,
    Usage& usage) {
  const auto fail = [this](const boost::system::error_code& error) {
    Close();
    return MakeError(error == boost::beast::error::timeout
                         ? ErrorKind::kUnknownDeadline
                         : ErrorKind::kPeerProtocol,
                     error.message());
  };
  if (!connected_) {
    const auto [error] = co_await stream_.async_connect(endpoint_, kAwaitTuple);
    if (error)
      co_return fail(error);
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connected_ = true;
  }
  const auto [write_error, sent] =
      co_await asio::async_write(stream_, asio::buffer(message), kAwaitTuple);
  usage.sent += sent;
  if (write_error)
    co_return fail(write_error);
  std::string buffer;
  const auto [read_error, size] = co_await asio::async_read_until(
      stream_, asio::dynamic_buffer(buffer, kMaxResponseBytes), '\n',
      kAwaitTuple);
  usage.received += buffer.size();
  if (read_error)
    co_return fail(read_error);
  // The next call has not been sent yet, so no bytes may follow the response.
  if (size != buffer.size()) {
    Close();
    co_return Failed("the peer sent more than one response");
  }
  buffer.pop_back();
  JsonRpcClientCodec::Response response = codec_.DecodeResponse(buffer);
  if (!response.ok)
    co_return Failed(response.error);
  co_return std::move(response.result);
}

void PeerChannel::Close() {
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
  connected_ = false;
}

}  // namespace pollenrudder
