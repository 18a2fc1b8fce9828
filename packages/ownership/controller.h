// Controller: every decision on ownership, membership and configuration that a
// daemon takes, as one state machine without I/O.

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

// Events and the time go in, actions come out. It replays the log, keeps the
// leases of the upstreams this instance leads, votes, claims, drains and moves
// shards, follows planned stops and hands over on leave. The same events in
// the same order give the same actions.
//
// Use: one thread owns a Controller, feeds it ControllerInput values and
// carries out the ControllerAction values. A Tick must come at least every
// 50 ms.
class Controller {
 public:
  static Result<std::unique_ptr<Controller>> Create(ControllerOptions options);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  std::vector<ControllerAction> Handle(const ControllerInput& input,
                                       const Now& now);

  // The whole replayed state as the parts of a checkpoint, for a zone peer
  // that starts while the log is down.
  std::vector<std::string> Snapshot() const;

  // Loads a peer's snapshot. Fails with kLogRegressed if it is older than what
  // this instance has applied.
  Result<void> LoadSnapshot(const std::vector<std::string>& parts);

  // The next offset to read.
  LogOffset next_offset() const;

  // Terms, leases, moves and section versions as JSON, for operators.
  std::string StatusJson(const Now& now) const;

 private:
  class Core;

  explicit Controller(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_H_
