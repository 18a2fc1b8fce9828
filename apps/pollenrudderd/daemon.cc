// Startup, planned leave and shutdown of the daemon's threads.

#include "pollenrudderd/daemon.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/descriptor_limit.h"
#include "base/event_log.h"
#include "callers/forward_handler.h"
#include "callers/ingress.h"
#include "pollenrudderd/daemon_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// Capacity of the input ring of the control thread. Log reads and load reports
// are the most frequent inputs; the ring fills up only if the control thread
// has stopped.
constexpr std::size_t kInputCapacity = 16384;
// One thread suffices, as it only passes forwarded requests to the sender.
constexpr std::uint32_t kForwardThreads = 1;
// The largest body that a section can allow.
constexpr std::uint64_t kMaxBodyBytes = 64 << 20;
// The parts of the file descriptors that connections of callers and forwarded
// requests may use. The rest is for upstreams, the platform and other
// instances.
constexpr std::size_t kCallerDescriptorsDivisor = 2;
constexpr std::size_t kForwardDescriptorsDivisor = 8;
constexpr std::size_t kMinConnections = 16;

// A handover needs a drain and an append per upstream. While the log is
// unavailable, only this timeout ends it.
constexpr milliseconds kHandoverTimeout{30000};
// Active callers send a request within this time, whose response announces that
// the connection closes. Idle connections are closed afterwards.
constexpr milliseconds kCloseGrace{2000};
// A request that is accepted last may be received for 30 s, has a deadline of
// at most 10 minutes (the limit of `deadline` in a section), and its caller may
// read the response for 30 s. The wait ends earlier if no request is left.
constexpr milliseconds kRequestTimeout{30000 + 600000 + 30000};
// An instance that does not read its responses delays the end for this time.
constexpr milliseconds kForwardCloseTimeout{5000};
constexpr milliseconds kPollInterval{5};

std::string CreateInstanceName(const std::string& name) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return name + "." + std::to_string(microseconds);
}

}  // namespace

Result<std::unique_ptr<Daemon>> Daemon::Start(const DaemonSettings& settings) {
  // Ignoring the TLS settings would send requests and responses unencrypted.
  if (settings.caller_tls || settings.peer_tls) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "tls is not supported by this version");
  }
  std::unique_ptr<Daemon> daemon(new Daemon(settings));
  BOOST_OUTCOME_TRY(daemon->StartThreads());
  daemon->WriteStartEvent();
  return daemon;
}

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      instance_(CreateInstanceName(settings.name)),
      metrics_(Metrics::Create()),
      memory_(MemoryAccount::ForProcess(settings.memory_bytes)),
      inputs_(kInputCapacity) {}

Daemon::~Daemon() {
  admin_server_.reset();
  snapshot_source_ = nullptr;
  if (control_)
    control_->Stop();
  platform_.reset();
  peer_client_.reset();
  peer_server_.reset();
  // The sender posts responses to the event loops of the servers, so it is
  // destroyed after Stop() and before the servers.
  if (caller_server_)
    caller_server_->Stop();
  if (forward_server_)
    forward_server_->Stop();
  sender_.reset();
}

Result<void> Daemon::StartThreads() {
  BOOST_OUTCOME_TRY(StartServers());
  BOOST_OUTCOME_TRY(StartControl());
  return boost::outcome_v2::success();
}

Result<void> Daemon::StartServers() {
  BOOST_OUTCOME_TRY(peer_server_,
                    PeerServer::Create(settings_.peer_address, inputs_,
                                       *metrics_, tail_, *this));
  sender_ =
      UpstreamSender::Create({instance_, settings_.region}, *this, *metrics_);
  ingress_context_ = std::make_unique<IngressContext>(
      IngressContext{instance_, settings_.zone, settings_.region, tables_,
                     *sender_, teams_, *metrics_});
  const std::size_t descriptors = DescriptorLimit();
  CallerServer::Options forward;
  forward.address = settings_.forward_address;
  forward.threads = kForwardThreads;
  forward.name = "forward";
  forward.max_connections_per_thread =
      std::max(descriptors / kForwardDescriptorsDivisor / kForwardThreads,
               kMinConnections);
  forward.limits.body_bytes = kMaxBodyBytes;
  forward.memory = memory_;
  BOOST_OUTCOME_TRY(forward_server_,
                    CallerServer::Create(
                        forward,
                        [this](boost::asio::io_context& io) {
                          return std::make_unique<ForwardHandler>(
                              *ingress_context_, io);
                        },
                        *metrics_));
  CallerServer::Options caller;
  caller.address = settings_.caller_address;
  caller.threads = settings_.threads;
  caller.name = "caller";
  caller.max_connections_per_thread =
      std::max(descriptors / kCallerDescriptorsDivisor / settings_.threads,
               kMinConnections);
  caller.limits.body_bytes = kMaxBodyBytes;
  caller.memory = memory_;
  BOOST_OUTCOME_TRY(caller_server_, CallerServer::Create(
                                        caller,
                                        [this](boost::asio::io_context& io) {
                                          return std::make_unique<Ingress>(
                                              *ingress_context_, io);
                                        },
                                        *metrics_));
  return boost::outcome_v2::success();
}

Result<void> Daemon::StartControl() {
  ControllerOptions options;
  options.instance = instance_;
  options.zone = settings_.zone;
  options.region = settings_.region;
  options.forward_address = forward_server_->address();
  options.peer_address = peer_server_->address();
  BOOST_OUTCOME_TRY(auto controller, Controller::Create(std::move(options)));
  control_ = std::make_unique<ControlThread>(std::move(controller), instance_,
                                             settings_.zone, inputs_);
  peer_client_ =
      PeerClient::Create(instance_, settings_.region, inputs_, *metrics_);
  LogstoreOptions platform;
  platform.log_address = settings_.log_address;
  platform.instance_list_address = settings_.instance_list_address;
  platform.instance = instance_;
  platform.zone = settings_.zone;
  platform.relay_tree = settings_.relay_tree;
  BOOST_OUTCOME_TRY(
      platform_, LogstoreThread::Create(std::move(platform), inputs_, *metrics_,
                                        tail_, peer_client_.get()));
  admin_requests_ =
      std::make_unique<AdminRequests>(*control_, tables_, *metrics_);
  BOOST_OUTCOME_TRY(admin_server_, AdminServer::Start(settings_.admin_address,
                                                      *admin_requests_));
  control_->Start(
      {*platform_, *peer_client_, *peer_server_, *sender_, tables_});
  snapshot_source_ = control_.get();
  return boost::outcome_v2::success();
}

void Daemon::WriteStartEvent() const {
  EventLog::Write(kDaemonStarted, {{"instance", instance_},
                                   {"zone", settings_.zone},
                                   {"region", settings_.region},
                                   {"caller", caller_server_->address()},
                                   {"forward", forward_server_->address()},
                                   {"peer", peer_server_->address()},
                                   {"admin", admin_server_->address()}});
  EventLog::Flush();
}

void Daemon::Leave(const std::atomic<bool>& canceled) {
  EventLog::Write(kDaemonLeaveStarted, {{"instance", instance_}});
  PushInput(LeaveRequested{});
  const bool handed_over =
      WaitFor([this] { return control_->leave_finished(); }, kHandoverTimeout,
              canceled);
  EventLog::Write(handed_over ? kHandoverFinished : kHandoverTimedOut, {});
  caller_server_->StartShutdown();
  const auto no_callers = [this] {
    return caller_server_->open_connections() == 0;
  };
  WaitFor(no_callers, kCloseGrace, canceled);
  caller_server_->CloseIdle();
  WaitFor(no_callers, kRequestTimeout, canceled);
  forward_server_->StartShutdown();
  WaitFor([this] { return sender_->requests_in_flight() == 0; },
          kRequestTimeout, canceled);
  forward_server_->CloseIdle();
  // The last responses may still be on their way to the forwarding instances.
  WaitFor([this] { return forward_server_->open_connections() == 0; },
          kForwardCloseTimeout, canceled);
  EventLog::Write(kDaemonStopped, {{"instance", instance_}});
  EventLog::Flush();
}

bool Daemon::WaitFor(const std::function<bool()>& condition,
                     milliseconds timeout,
                     const std::atomic<bool>& canceled) {
  const BootTime end = BootClock::now() + timeout;
  while (!condition()) {
    if (canceled || BootClock::now() >= end)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void Daemon::PushInput(ControllerInput input) {
  if (!inputs_.Push(std::move(input)))
    EventLog::Write(kInputDropped, {});
}

void Daemon::OnUpstreamObserved(UpstreamObserved event) {
  PushInput(std::move(event));
}

void Daemon::OnFingerprintConfirmed(FingerprintConfirmed event) {
  PushInput(std::move(event));
}

void Daemon::OnDrainFinished(DrainFinished event) {
  PushInput(std::move(event));
}

void Daemon::OnLoadReported(LoadReported event) {
  PushInput(std::move(event));
}

void Daemon::OnSnapshotRequested(std::uint64_t call_id) {
  if (ControlThread* const source = snapshot_source_.load())
    source->SendSnapshot(call_id);
}

}  // namespace pollenrudder
