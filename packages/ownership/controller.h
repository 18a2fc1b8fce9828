// Controller: the state machine that makes all ownership, membership and
// configuration decisions of a daemon. It performs no I/O.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_H_

#include <memory>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/result.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"
#include "ownership/controller_options.h"

namespace pollenrudder {

// Takes inputs with the current time and returns actions. It replays the log,
// keeps the leases of the upstreams that this instance leads, answers promise
// requests, claims upstreams, drains and moves shards, follows planned stops,
// and hands over its terms when it leaves. It is deterministic: the same inputs
// in the same order give the same actions.
//
// Use: one thread owns a Controller, passes it ControllerInput values and
// performs the returned ControllerAction values in order. Pass a Tick at least
// every 50 ms.
class Controller {
 public:
  static Result<std::unique_ptr<Controller>> Create(ControllerOptions options);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  std::vector<ControllerAction> Handle(const ControllerInput& input,
                                       const Now& now);

  // Returns the replayed state as the parts of a checkpoint, for an instance in
  // the same availability zone that starts while the log is unavailable.
  std::vector<std::string> Snapshot() const;

  // Loads the snapshot of another instance. Fails with kLogRegressed if it is
  // older than the records that this instance has applied.
  Result<void> LoadSnapshot(const std::vector<std::string>& parts);

  // The next log offset to read.
  LogOffset next_offset() const;

  // Returns the terms, leases, moves and section versions as JSON for
  // operators.
  std::string StatusJson(const Now& now) const;

 private:
  class Core;

  explicit Controller(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_H_
