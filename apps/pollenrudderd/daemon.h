// Owner of all threads of a pollenrudderd process in document mode.

#ifndef POLLENRUDDER_POLLENRUDDERD_DAEMON_H_
#define POLLENRUDDER_POLLENRUDDERD_DAEMON_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/result.h"
#include "callers/caller_server.h"
#include "callers/ingress_context.h"
#include "document/daemon_settings.h"
#include "logstore/logstore_thread.h"
#include "operators/admin_server.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"
#include "pollenrudderd/admin_requests.h"
#include "pollenrudderd/control_thread.h"
#include "upstreams/upstream_listener.h"
#include "upstreams/upstream_sender.h"

namespace pollenrudder {

// Starts the threads in the order of their dependencies and stops them in
// reverse. Passes events from the I/O threads to the control thread.
//   auto daemon = Daemon::Start(settings);  ... daemon.value()->Leave(cancel);
class Daemon final : public UpstreamListener, public PeerServer::Listener {
 public:
  // Binds all addresses and starts to serve. Fails if an address cannot be
  // bound or the settings ask for TLS.
  static Result<std::unique_ptr<Daemon>> Start(const DaemonSettings& settings);
  // Stops and joins all threads.
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Hands over all terms, waits for the requests of callers to finish and
  // returns. Returns early when `canceled` becomes true.
  void Leave(const std::atomic<bool>& canceled);

  // UpstreamListener:
  void OnUpstreamObserved(UpstreamObserved event) override;
  void OnFingerprintConfirmed(FingerprintConfirmed event) override;
  void OnDrainFinished(DrainFinished event) override;
  void OnLoadReported(LoadReported event) override;

  // PeerServer::Listener:
  void OnSnapshotRequested(std::uint64_t call_id) override;

 private:
  explicit Daemon(const DaemonSettings& settings);

  Result<void> StartThreads();
  Result<void> StartServers();
  Result<void> StartControl();
  void WriteStartEvent() const;
  void PushInput(ControllerInput input);
  // Waits until `condition` returns true, `timeout` has passed or `canceled`
  // is set. Returns false in the latter two cases.
  static bool WaitFor(const std::function<bool()>& condition,
                      std::chrono::milliseconds timeout,
                      const std::atomic<bool>& canceled);

  const DaemonSettings settings_;
  // "<name>.<incarnation>".
  const std::string instance_;
  const std::unique_ptr<Metrics> metrics_;
  const std::shared_ptr<MemoryAccount> memory_;
  ControlThread::Inputs inputs_;
  LogTail tail_;
  RoutingTableHolder tables_;
  TeamLimits teams_;
  // Null until the control thread runs; peers may request a snapshot before.
  std::atomic<ControlThread*> snapshot_source_ = nullptr;
  // In start order.
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<UpstreamSender> sender_;
  std::unique_ptr<IngressContext> ingress_context_;
  std::unique_ptr<CallerServer> forward_server_;
  std::unique_ptr<CallerServer> caller_server_;
  std::unique_ptr<PeerClient> peer_client_;
  std::unique_ptr<LogstoreThread> platform_;
  std::unique_ptr<ControlThread> control_;
  std::unique_ptr<AdminRequests> admin_requests_;
  std::unique_ptr<AdminServer> admin_server_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_DAEMON_H_
