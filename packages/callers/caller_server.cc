// CallerServer: the event loop threads, their listening sockets and sessions.

#include "callers/caller_server.h"

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "callers/caller_session.h"
#include "callers/callers_events.h"

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using ReusePort =
    boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::seconds kTimeoutCheckInterval{1};
// Delay after a failed accept, for example when too many files are open.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

// One event loop thread. Members are used on this thread only, except the
// atomics and the functions that post to `io_`.
class CallerServer::Thread final : public CallerSession::Owner {
 public:
  Thread(const Options& options, Counter& connections)
      : options_(options),
        connections_total_(connections),
        acceptor_(io_),
        timeout_timer_(io_),
        accept_retry_timer_(io_),
        work_guard_(boost::asio::make_work_guard(io_)) {}

  ~Thread() override { Stop(); }
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;

  error_code Listen(const tcp::endpoint& endpoint) {
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.set_option(ReusePort(true), error);
    if (!error)
      acceptor_.bind(endpoint, error);
    if (!error)
      acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    return error;
  }

  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  void Start(const RequestHandler::Factory& factory) {
    handler_ = factory(io_);
    StartAccept();
    ScheduleTimeoutCheck();
    thread_ = std::thread([this] { io_.run(); });
  }

  void StartShutdown() {
    boost::asio::post(io_, [this] {
      closing_ = true;
      // Closing the socket would reset connections that the kernel has already
      // accepted, so they are taken over first.
      error_code error;
      acceptor_.non_blocking(true, error);
      while (!error) {
        tcp::socket socket = acceptor_.accept(error);
        if (!error)
          OnAccepted(std::move(socket));
      }
      acceptor_.close(error);
    });
  }

  void CloseIdle() {
    boost::asio::post(io_, [this] {
      closing_idle_ = true;
      for (const auto& session : ListSessions())
        session->CloseIfIdle();
    });
  }

  void Stop() {
    if (!thread_.joinable())
      return;
    io_.stop();
    thread_.join();
    // Cancels requests in progress while their handler still exists.
    for (const auto& session : ListSessions())
      session->Close();
  }

  std::size_t open_connections() const { return open_connections_; }

  // CallerSession::Owner:
  RequestHandler& handler() override { return *handler_; }
  const std::shared_ptr<MemoryAccount>& memory() const override {
    return options_.memory;
  }
  void Post(std::function<void()> function) override {
    boost::asio::post(io_, std::move(function));
  }
  bool is_closing() const override { return closing_; }
  bool is_closing_idle() const override { return closing_idle_; }
  void OnSessionEnded(CallerSession& session) override {
    sessions_.erase(&session);
    open_connections_ = sessions_.size();
  }

 private:
  void StartAccept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (closing_ || error == boost::asio::error::operation_aborted)
        return;
      if (error) {
        accept_retry_timer_.expires_after(kAcceptRetryDelay);
        accept_retry_timer_.async_wait([this](error_code aborted) {
          if (!aborted)
            StartAccept();
        });
        return;
      }
      OnAccepted(std::move(socket));
      StartAccept();
    });
  }

  void OnAccepted(tcp::socket socket) {
    if (sessions_.size() >= options_.max_connections_per_thread) {
      EventLog::Write(kConnectionRefused, {{"server", options_.name}});
      if (!CloseStalestWaiting())
        return;
    }
    connections_total_.Add();
    const auto session = std::make_shared<CallerSession>(
        CreatePlainStream(std::move(socket)), options_.limits, *this);
    sessions_.emplace(session.get(), session);
    open_connections_ = sessions_.size();
    session->Start();
  }

  // Returns false if every session has a request in progress.
  bool CloseStalestWaiting() {
    CallerSession* stalest = nullptr;
    for (const auto& [session, owned] : sessions_) {
      if (session->IsWaitingForCaller() &&
          (stalest == nullptr ||
           session->phase_started_at() < stalest->phase_started_at()))
        stalest = session;
    }
    if (stalest == nullptr)
      return false;
    stalest->Close();
    return true;
  }

  void ScheduleTimeoutCheck() {
    timeout_timer_.expires_after(kTimeoutCheckInterval);
    timeout_timer_.async_wait([this](error_code error) {
      if (error)
        return;
      const BootTime now = BootClock::now();
      for (const auto& session : ListSessions())
        session->CheckTimeout(now);
      ScheduleTimeoutCheck();
    });
  }

  // Returns a copy, since sessions are removed from `sessions_` as they end.
  std::vector<std::shared_ptr<CallerSession>> ListSessions() const {
    std::vector<std::shared_ptr<CallerSession>> sessions;
    sessions.reserve(sessions_.size());
    for (const auto& [key, session] : sessions_)
      sessions.push_back(session);
    return sessions;
  }

  const Options options_;
  Counter& connections_total_;
  boost::asio::io_context io_{1};
  std::unique_ptr<RequestHandler> handler_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer timeout_timer_;
  boost::asio::steady_timer accept_retry_timer_;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  std::atomic<std::size_t> open_connections_ = 0;
  bool closing_ = false;
  bool closing_idle_ = false;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

class CallerServer::Core {
 public:
  Core(const Options& options, Metrics& metrics)
      : options_(options),
        connections_(metrics.CounterFor("pollenrudder_connections_total",
                                        "server=\"" + options.name + "\"")) {}

  Result<void> Start(const RequestHandler::Factory& factory) {
    auto parsed = ParseSocketAddress(options_.address);
    if (!parsed)
      return parsed.error();
    tcp::endpoint endpoint = parsed.value();
    BOOST_OUTCOME_TRY(CheckAddressFree(endpoint));
    for (std::uint32_t index = 0; index < options_.threads; ++index) {
      auto thread = std::make_unique<Thread>(options_, connections_);
      if (const error_code error = thread->Listen(endpoint))
        return ListenError(error);
      // The other threads listen on the port that the first one was assigned.
      endpoint = thread->local_endpoint();
      threads_.push_back(std::move(thread));
    }
    address_ = SocketAddressText(endpoint);
    for (const auto& thread : threads_)
      thread->Start(factory);
    return boost::outcome_v2::success();
  }

  // Fails if another process listens on the address. The threads use
  // SO_REUSEPORT, with which a second daemon with the same settings would
  // silently receive part of the connections.
  Result<void> CheckAddressFree(const tcp::endpoint& endpoint) const {
    boost::asio::io_context io;
    tcp::acceptor acceptor(io);
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
      acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor.bind(endpoint, error);
    if (!error)
      acceptor.listen(1, error);
    return error ? Result<void>(ListenError(error))
                 : boost::outcome_v2::success();
  }

  Error ListenError(const error_code& error) const {
    return MakeError(
        ErrorKind::kInvalidSettings,
        "cannot listen on " + options_.address + ": " + error.message());
  }

  const std::vector<std::unique_ptr<Thread>>& threads() const {
    return threads_;
  }
  const std::string& address() const { return address_; }

 private:
  const Options options_;
  Counter& connections_;
  std::vector<std::unique_ptr<Thread>> threads_;
  std::string address_;
};

Result<std::unique_ptr<CallerServer>> CallerServer::Create(
    const Options& options,
    const RequestHandler::Factory& factory,
    Metrics& metrics) {
  auto core = std::make_unique<Core>(options, metrics);
  BOOST_OUTCOME_TRY(core->Start(factory));
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(core)));
}

CallerServer::CallerServer(std::unique_ptr<Core> core)
    : core_(std::move(core)) {}
CallerServer::~CallerServer() = default;

const std::string& CallerServer::address() const {
  return core_->address();
}

void CallerServer::StartShutdown() {
  for (const auto& thread : core_->threads())
    thread->StartShutdown();
}

void CallerServer::CloseIdle() {
  for (const auto& thread : core_->threads())
    thread->CloseIdle();
}

std::size_t CallerServer::open_connections() const {
  std::size_t total = 0;
  for (const auto& thread : core_->threads())
    total += thread->open_connections();
  return total;
}

void CallerServer::Stop() {
  for (const auto& thread : core_->threads())
    thread->Stop();
}

}  // namespace pollenrudder
