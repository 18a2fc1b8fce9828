// Sends control messages to other entry instances.

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
// per peer and kind of call. Calls on one connection are answered in order; a
// call without an answer in time closes it, so that a late answer can't be
// taken for another call's. All functions may be called from any thread.
class PeerClient : public RelayReader {
 public:
  // The parts of a peer's Controller::Snapshot().
  using SnapshotCallback =
      std::function<void(Result<std::vector<std::string>>)>;

  // `region` is this instance's own. The references must outlive the object.
  static std::unique_ptr<PeerClient> Create(
      std::string instance,
      std::string region,
      BoundedRing<ControllerInput>& inputs,
      Metrics& metrics);
  // Stops and joins the thread. Callbacks that are pending are not called.
  ~PeerClient() override;

  // Bytes to and from peers of other regions are counted apart. Connections to
  // peers that are not listed are closed.
  void SetInstances(const std::vector<ListedInstance>& instances);

  // Answered by one PromiseAnswered in `inputs`.
  void Send(const SendPromiseRequest& action);
  // Sent once, without a retry.
  void Send(const SendLoadReport& action);
  void Send(const SendMoveAdvice& action);

  // Called back once, on the client's thread.
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
