// Server for the control messages between entry instances.

#ifndef POLLENRUDDER_PEERS_PEER_SERVER_H_
#define POLLENRUDDER_PEERS_PEER_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/bounded_ring.h"
#include "base/metrics.h"
#include "base/result.h"
#include "logstore/log_tail.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Accepts JSON-RPC 2.0 requests, one per line, on its own thread.
// promise.request, load.report and move.request become PromiseRequested,
// LoadReported and MoveAdvised in `inputs`. log.tail is answered from `tail`;
// table.snapshot is passed to the Listener. An invalid message gets a JSON-RPC
// error; a message that is too large closes the connection. Related:
// PeerClient, the other side.
class PeerServer {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // Called on the thread of the server. Respond with SendSnapshot(), from
    // any thread.
    virtual void OnSnapshotRequested(std::uint64_t call_id) = 0;
  };

  // Listens on `address` ("ip:port"; port 0 selects a free port). The
  // references must outlive the object.
  static Result<std::unique_ptr<PeerServer>> Create(
      const std::string& address,
      BoundedRing<ControllerInput>& inputs,
      Metrics& metrics,
      LogTail& tail,
      Listener& listener);
  // Stops and joins the thread.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The address that the server is bound to.
  const std::string& address() const;

  // Both may be called from any thread. A result for a call that has ended is
  // dropped.
  void Answer(const SendPromiseResponse& action);
  void SendSnapshot(std::uint64_t call_id, std::vector<std::string> parts);

 private:
  class Core;

  explicit PeerServer(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_PEER_SERVER_H_
