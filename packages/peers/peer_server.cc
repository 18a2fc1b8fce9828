// PeerServer with one coroutine per connection.

#include "peers/peer_server.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "base/descriptor_limit.h"
#include "base/event_log.h"
#include "base/socket_address.h"
#include "logstore/http_connection.h"
#include "peers/json_rpc_codec.h"
#include "peers/peer_messages.h"
#include "peers/peers_events.h"

namespace pollenrudder {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kMaxConnections = 4096;
constexpr std::size_t kDescriptorsDivisor = 8;
constexpr std::chrono::seconds kIdleTimeout{60};
constexpr std::chrono::seconds kWriteTimeout{10};
// Equal to the timeout of the calling peer.
constexpr std::chrono::milliseconds kPromiseTimeout{400};
constexpr std::chrono::milliseconds kSnapshotTimeout{5000};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr std::size_t kMaxTailRecords = 1000;
constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

}  // namespace

class PeerServer::Core : public LogTail::Listener {
 public:
  Core(tcp::acceptor acceptor,
       std::unique_ptr<asio::io_context> context,
       BoundedRing<ControllerInput>& inputs,
       Metrics& metrics,
       LogTail& tail,
       PeerServer::Listener& listener)
      : context_(std::move(context)),
        acceptor_(std::move(acceptor)),
        inputs_(inputs),
        metrics_(metrics),
        tail_(tail),
        listener_(listener),
        codec_({kPromiseMethod, kTailMethod, kSnapshotMethod, kLoadMethod,
                kMoveMethod}),
        work_guard_(context_->get_executor()) {
    const tcp::endpoint bound = acceptor_.local_endpoint();
    address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
    tail_.SetListener(this);
    asio::co_spawn(*context_, AcceptLoop(), asio::detached);
    thread_ = std::thread([this] { context_->run(); });
  }

  ~Core() override {
    tail_.SetListener(nullptr);
    context_->stop();
    thread_.join();
  }

  const std::string& address() const { return address_; }

  void OnRecordsAdded() override {
    asio::post(*context_, [this] {
      for (asio::steady_timer* const timer : tail_waiters_)
        timer->cancel();
    });
  }

  void Answer(const SendPromiseResponse& action) {
    asio::post(*context_, [this, action] {
      const auto found = pending_calls_.find(action.call_id);
      if (found == pending_calls_.end())
        return;
      found->second->promise = action;
      found->second->timer.cancel();
    });
  }

  void SendSnapshot(std::uint64_t call_id, std::vector<std::string> parts) {
    asio::post(*context_, [this, call_id, parts = std::move(parts)]() mutable {
      const auto found = pending_calls_.find(call_id);
      if (found == pending_calls_.end())
        return;
      found->second->snapshot = std::move(parts);
      found->second->timer.cancel();
    });
  }

 private:
  // A call whose result is provided by the control thread.
  struct PendingCall {
    explicit PendingCall(asio::io_context& context) : timer(context) {}

    asio::steady_timer timer;
    std::optional<SendPromiseResponse> promise;
    std::optional<std::vector<std::string>> snapshot;
  };

  asio::awaitable<void> AcceptLoop() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwaitTuple);
      if (error) {
        // For example, no file descriptor is free. An immediate retry would
        // busy-loop.
        asio::steady_timer retry_timer(*context_, kAcceptRetryDelay);
        co_await retry_timer.async_wait(kAwaitTuple);
        continue;
      }
      if (connections_ >= max_connections_) {
        EventLog::Write(kPeerConnectionRefused, {{"open", connections_}});
        metrics_.Count("pollenrudder_peer_connections_refused_total");
        continue;
      }
      ++connections_;
      asio::co_spawn(*context_,
                     Serve(boost::beast::tcp_stream(std::move(socket))),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(boost::beast::tcp_stream stream) {
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    std::string buffer;
    for (;;) {
      stream.expires_after(kIdleTimeout);
      const auto [read_error, size] = co_await asio::async_read_until(
          stream, asio::dynamic_buffer(buffer, kMaxRequestBytes), '\n',
          kAwaitTuple);
      if (read_error) {
        if (read_error == asio::error::not_found)
          Refuse("the message is too large");
        break;
      }
      CountBytes("in", size);
      const std::string message = buffer.substr(0, size - 1);
      buffer.erase(0, size);
      std::string response = co_await Handle(message);
      if (response.empty())
        continue;
      response += '\n';
      stream.expires_after(kWriteTimeout);
      const auto [write_error, written] = co_await asio::async_write(
          stream, asio::buffer(response), kAwaitTuple);
      CountBytes("out", written);
      if (write_error)
        break;
    }
    --connections_;
  }

  // The region of the calling peer is unknown here; PeerClient counts by
  // region.
  void CountBytes(const char* direction, std::size_t bytes) {
    metrics_.Count("pollenrudder_peer_served_bytes_total",
                   std::string("direction=\"") + direction + '"', bytes);
  }

  void Refuse(const std::string& reason) {
    EventLog::Write(kPeerMessageRefused, {{"reason", reason}});
    metrics_.Count("pollenrudder_peer_messages_refused_total");
  }

  asio::awaitable<std::string> Handle(const std::string& message) {
    const JsonRpcServerCodec::Call call = codec_.Accept(message);
    if (!call.accepted) {
      Refuse("not a valid JSON-RPC request");
      co_return call.response;
    }
    // A notification of a known method has no effect, because it gets no
    // response.
    if (call.response.empty())
      co_return std::string();
    Result<std::string> result = Error{};
    if (call.method == kPromiseMethod)
      result = co_await HandlePromise(call.params);
    else if (call.method == kTailMethod)
      result = co_await HandleTail(call.params);
    else if (call.method == kSnapshotMethod)
      result = co_await HandleSnapshot();
    else if (call.method == kLoadMethod)
      result = Deliver(ParseLoadParameters(call.params));
    else
      result = Deliver(ParseMoveParameters(call.params));
    if (result)
      co_return codec_.Complete(message, result.assume_value());
    if (result.assume_error().kind == ErrorKind::kPeerProtocol)
      Refuse(result.assume_error().message);
    co_return codec_.Fail(message, result.assume_error().message);
  }

  template <typename Input>
  Result<std::string> Deliver(Result<Input> input) {
    if (!input)
      return input.assume_error();
    if (!inputs_.Push(ControllerInput(std::move(input).assume_value())))
      return MakeError(ErrorKind::kInternal, "overloaded");
    return std::string("{}");
  }

  asio::awaitable<Result<std::string>> HandlePromise(
      const std::string& params) {
    Result<PromiseRequested> request = ParsePromiseParameters(params);
    if (!request)
      co_return request.assume_error();
    const std::vector<PromisedTerm> requested = request.assume_value().terms;
    const std::uint64_t call_id = ++last_call_id_;
    request.assume_value().call_id = call_id;
    const auto call = std::make_shared<PendingCall>(*context_);
    pending_calls_[call_id] = call;
    call->timer.expires_after(kPromiseTimeout);
    if (inputs_.Push(ControllerInput(std::move(request).assume_value())))
      co_await call->timer.async_wait(kAwaitTuple);
    pending_calls_.erase(call_id);
    if (!call->promise)
      co_return MakeError(ErrorKind::kInternal, "overloaded");
    co_return FormatPromiseResult(requested, *call->promise);
  }

  asio::awaitable<Result<std::string>> HandleSnapshot() {
    const std::uint64_t call_id = ++last_call_id_;
    const auto call = std::make_shared<PendingCall>(*context_);
    pending_calls_[call_id] = call;
    call->timer.expires_after(kSnapshotTimeout);
    listener_.OnSnapshotRequested(call_id);
    co_await call->timer.async_wait(kAwaitTuple);
    pending_calls_.erase(call_id);
    if (!call->snapshot)
      co_return MakeError(ErrorKind::kInternal, "overloaded");
    co_return FormatSnapshotResult(*call->snapshot);
  }

  asio::awaitable<Result<std::string>> HandleTail(const std::string& params) {
    const Result<TailParameters> parameters = ParseTailParameters(params);
    if (!parameters)
      co_return parameters.assume_error();
    const LogOffset from = parameters.assume_value().from;
    const BootTime end = BootClock::now() + parameters.assume_value().wait;
    asio::steady_timer timer(*context_);
    for (;;) {
      const std::optional<LogRecordsRead> read =
          tail_.Read(from, kMaxTailRecords);
      if (!read)
        co_return MakeError(ErrorKind::kInternal, "records no longer held");
      const BootTime now = BootClock::now();
      if (read->next > from || now >= end)
        co_return FormatTailResult(*read, now);
      timer.expires_after(end - now);
      tail_waiters_.insert(&timer);
      co_await timer.async_wait(kAwaitTuple);
      tail_waiters_.erase(&timer);
    }
  }

  const std::unique_ptr<asio::io_context> context_;
  tcp::acceptor acceptor_;
  std::string address_;
  BoundedRing<ControllerInput>& inputs_;
  Metrics& metrics_;
  LogTail& tail_;
  PeerServer::Listener& listener_;
  JsonRpcServerCodec codec_;
  const std::size_t max_connections_ =
      std::min(kMaxConnections, DescriptorLimit() / kDescriptorsDivisor);
  std::size_t connections_ = 0;
  std::uint64_t last_call_id_ = 0;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending_calls_;
  std::set<asio::steady_timer*> tail_waiters_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::thread thread_;
};

Result<std::unique_ptr<PeerServer>> PeerServer::Create(
    const std::string& address,
    BoundedRing<ControllerInput>& inputs,
    Metrics& metrics,
    LogTail& tail,
    Listener& listener) {
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseSocketAddress(address));
  auto context = std::make_unique<asio::io_context>(1);
  tcp::acceptor acceptor(*context);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "cannot listen on " + address + ": " + error.message());
  }
  auto core = std::make_unique<Core>(std::move(acceptor), std::move(context),
                                     inputs, metrics, tail, listener);
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(core)));
}

PeerServer::PeerServer(std::unique_ptr<Core> core) : core_(std::move(core)) {}

PeerServer::~PeerServer() = default;

const std::string& PeerServer::address() const {
  return core_->address();
}

void PeerServer::Answer(const SendPromiseResponse& action) {
  core_->Answer(action);
}

void PeerServer::SendSnapshot(std::uint64_t call_id,
                              std::vector<std::string> parts) {
  core_->SendSnapshot(call_id, std::move(parts));
}

}  // namespace pollenrudder
