// Client for the control messages between entry instances.

#ifndef POLLENRUDDER_PEERS_PEER_CLIENT_H_
#define POLLENRUDDER_PEERS_PEER_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/bounded_ring.h"
#include "base/metrics.h"
#include "base/result.h"
#include "logstore/relay_reader.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// Calls PeerServer of other instances from its own thread, over one connection
// per peer and kind of call. Calls on one connection are answered in order. A
// call without a response in time closes the connection, so that a late
// response is not matched to another call. All functions may be called from any
// thread.
class PeerClient : public RelayReader {
 public:
  // The parts of Controller::Snapshot() of the peer.
  using SnapshotCallback =
      std::function<void(Result<std::vector<std::string>>)>;

  // `region` is the region of this instance. The references must outlive the
  // object.
  static std::unique_ptr<PeerClient> Create(
      std::string instance,
      std::string region,
      BoundedRing<ControllerInput>& inputs,
      Metrics& metrics);
  // Stops and joins the thread. Pending callbacks are not called.
  ~PeerClient() override;

  // Sets the known peers and their regions: traffic with other regions is
  // counted separately, and idle connections to unlisted peers are closed.
  void SetInstances(const std::vector<ListedInstance>& instances);

  // Pushes one PromiseAnswered into `inputs`, also if the call fails.
  void Send(const SendPromiseRequest& action);
  // Sent once, without a retry; a failure is ignored.
  void Send(const SendLoadReport& action);
  void Send(const SendMoveAdvice& action);

  // Calls `callback` once, on the thread of the client.
  void FetchSnapshot(const std::string& peer_address,
                     SnapshotCallback callback);

  void ReadTail(const std::string& peer_address,
                LogOffset from,
                std::chrono::milliseconds wait,
                Callback callback) override;

 private:
  class Core;

  explicit PeerClient(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_PEER_CLIENT_H_
