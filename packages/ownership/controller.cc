// Validates the options and forwards each call to Controller::Core.

#include "ownership/controller.h"

#include <utility>

#include "ownership/controller_core.h"

namespace pollenrudder {

Result<std::unique_ptr<Controller>> Controller::Create(
    ControllerOptions options) {
  const bool complete = !options.instance.empty() && !options.zone.empty() &&
                        !options.forward_address.empty() &&
                        !options.peer_address.empty();
  if (!complete) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "instance, zone and addresses are required");
  }
  if (options.log_lease_duration <= options.log_read_interval ||
      options.promise_duration <= options.heartbeat_interval) {
    return MakeError(
        ErrorKind::kInvalidSettings,
        "a lease must be longer than the interval that extends it");
  }
  return std::unique_ptr<Controller>(
      new Controller(std::make_unique<Core>(std::move(options))));
}

Controller::Controller(std::unique_ptr<Core> core) : core_(std::move(core)) {}

Controller::~Controller() = default;

std::vector<ControllerAction> Controller::Handle(const ControllerInput& input,
                                                 const Now& now) {
  return core_->Handle(input, now);
}

std::vector<std::string> Controller::Snapshot() const {
  return core_->Snapshot();
}

Result<void> Controller::LoadSnapshot(const std::vector<std::string>& parts) {
  return core_->LoadSnapshot(parts);
}

LogOffset Controller::next_offset() const {
  return core_->next_offset();
}

std::string Controller::StatusJson(const Now& now) const {
  return core_->StatusJson(now);
}

}  // namespace pollenrudder
