// Thread that runs the Controller of the daemon.

#ifndef POLLENRUDDER_POLLENRUDDERD_CONTROL_THREAD_H_
#define POLLENRUDDER_POLLENRUDDERD_CONTROL_THREAD_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_ring.h"
#include "callers/routing_table_holder.h"
#include "logstore/logstore_thread.h"
#include "ownership/controller.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"
#include "upstreams/upstream_sender.h"

namespace pollenrudder {

// Passes events from the input ring to the Controller, and its actions to the
// I/O threads. While the log has never been read, loads a snapshot from an
// instance of the same availability zone. Call Start() once; Daemon owns the
// object.
class ControlThread {
 public:
  // The objects that perform actions. They must stay valid until Stop()
  // returns.
  struct Outputs {
    LogstoreThread& platform;
    PeerClient& peer_client;
    PeerServer& peer_server;
    UpstreamSender& sender;
    RoutingTableHolder& tables;
  };

  using Inputs = BoundedRing<ControllerInput>;

  ControlThread(std::unique_ptr<Controller> controller,
                std::string instance,
                std::string zone,
                Inputs& inputs);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  void Start(const Outputs& outputs);
  // Stops and joins the thread.
  void Stop();

  // The functions below may be called from any thread.
  // Returns Controller::StatusJson(), or an empty string after a timeout.
  std::string ReadStatus();
  // Sends the replayed state as the response to a same-zone instance's request.
  void SendSnapshot(std::uint64_t call_id);
  bool leave_finished() const { return leave_finished_; }

 private:
  using Task = std::function<void()>;

  void Run();
  void RunTasks();
  void Handle(const ControllerInput& input);
  void PerformActions(const std::vector<ControllerAction>& actions);
  void FetchSnapshot();
  void LoadSnapshot(const std::vector<std::string>& parts);

  const std::unique_ptr<Controller> controller_;
  const std::string instance_;
  const std::string zone_;
  Inputs& inputs_;
  // Calls to run on this thread that are not inputs of the Controller.
  BoundedRing<Task> tasks_;
  // Null before Start().
  std::unique_ptr<Outputs> outputs_;
  std::thread thread_;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> leave_finished_ = false;

  // Used on the control thread only.
  std::vector<ListedInstance> instances_;
  bool log_was_read_ = false;
  BootTime next_snapshot_;
  std::size_t snapshot_peer_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_CONTROL_THREAD_H_
