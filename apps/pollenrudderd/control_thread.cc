// The event loop of the control thread and the dispatch of its actions.

#include "pollenrudderd/control_thread.h"

#include <algorithm>
#include <future>
#include <utility>
#include <variant>

#include "base/event_log.h"
#include "pollenrudderd/daemon_events.h"

namespace pollenrudder {
namespace {

// Maximum interval of ticks that Controller accepts.
constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::size_t kTaskCapacity = 256;
constexpr std::chrono::seconds kStatusTimeout{2};
// Interval between snapshot requests to instances of the same availability zone
// while the log cannot be read.
constexpr std::chrono::seconds kSnapshotInterval{1};

// Dispatches each action to the thread that performs it.
struct ActionVisitor {
  const ControlThread::Outputs& outputs;
  std::atomic<bool>& leave_finished;

  void operator()(const AppendRecord& action) const {
    outputs.platform.Append(action);
  }
  void operator()(const SendPromiseRequest& action) const {
    outputs.peer_client.Send(action);
  }
  void operator()(const SendPromiseResponse& action) const {
    outputs.peer_server.Answer(action);
  }
  void operator()(const ReadLogNow& action) const {
    outputs.platform.ReadNow(action);
  }
  void operator()(const SetLease& action) const {
    outputs.sender.ApplyLease(action);
  }
  void operator()(const DrainShards& action) const {
    outputs.sender.Drain(action);
  }
  void operator()(const ResumeShards& action) const {
    outputs.sender.Resume(action);
  }
  void operator()(const PublishRoutingTable& action) const {
    // The sender gets the table first: as the leader it validates requests that
    // callers' threads route by the published table.
    outputs.sender.SetTable(action.table);
    outputs.tables.Publish(action.table);
  }
  void operator()(const MarkFingerprints& action) const {
    outputs.sender.Mark(action);
  }
  void operator()(const SendLoadReport& action) const {
    outputs.peer_client.Send(action);
  }
  void operator()(const SendMoveAdvice& action) const {
    outputs.peer_client.Send(action);
  }
  void operator()(const EmitLogEvent& action) const {
    EventLog::Write(action.event, action.fields);
  }
  void operator()(const LeaveFinished& /*action*/) const {
    leave_finished = true;
  }
};

}  // namespace

ControlThread::ControlThread(std::unique_ptr<Controller> controller,
                             std::string instance,
                             std::string zone,
                             Inputs& inputs)
    : controller_(std::move(controller)),
      instance_(std::move(instance)),
      zone_(std::move(zone)),
      inputs_(inputs),
      tasks_(kTaskCapacity) {}

ControlThread::~ControlThread() {
  Stop();
}

void ControlThread::Start(const Outputs& outputs) {
  outputs_ = std::make_unique<Outputs>(outputs);
  outputs_->platform.ReadFrom(controller_->next_offset());
  thread_ = std::thread([this] { Run(); });
}

void ControlThread::Stop() {
  stopped_ = true;
  if (thread_.joinable())
    thread_.join();
}

std::string ControlThread::ReadStatus() {
  auto status = std::make_shared<std::promise<std::string>>();
  auto future = status->get_future();
  const bool pushed = tasks_.Push([this, status = std::move(status)] {
    status->set_value(controller_->StatusJson(Now::Read()));
  });
  if (!pushed || future.wait_for(kStatusTimeout) != std::future_status::ready)
    return {};
  return future.get();
}

void ControlThread::SendSnapshot(std::uint64_t call_id) {
  // If the task queue is full, the request is dropped and the peer times out.
  (void)tasks_.Push([this, call_id] {
    outputs_->peer_server.SendSnapshot(call_id, controller_->Snapshot());
  });
}

void ControlThread::Run() {
  BootTime next_tick = BootClock::now();
  while (!stopped_) {
    const auto wait = next_tick - BootClock::now();
    if (wait > BootTime::duration::zero()) {
      if (const auto input = inputs_.PopFor(wait))
        Handle(*input);
    }
    RunTasks();
    if (BootClock::now() >= next_tick) {
      Handle(Tick{});
      next_tick = BootClock::now() + kTickInterval;
    }
  }
}

void ControlThread::RunTasks() {
  while (const auto task = tasks_.Pop())
    (*task)();
}

void ControlThread::Handle(const ControllerInput& input) {
  if (const auto* const listed = std::get_if<InstancesListed>(&input)) {
    instances_ = listed->instances;
    outputs_->peer_client.SetInstances(instances_);
  } else if (std::holds_alternative<LogRecordsRead>(input)) {
    log_was_read_ = true;
  } else if (std::holds_alternative<LogReadFailed>(input)) {
    FetchSnapshot();
  }
  PerformActions(controller_->Handle(input, Now::Read()));
}

void ControlThread::PerformActions(
    const std::vector<ControllerAction>& actions) {
  const ActionVisitor visitor{*outputs_, leave_finished_};
  for (const ControllerAction& action : actions)
    std::visit(visitor, action);
}

void ControlThread::FetchSnapshot() {
  const BootTime now = BootClock::now();
  if (log_was_read_ || now < next_snapshot_)
    return;
  std::vector<std::string> peers;
  for (const ListedInstance& listed : instances_) {
    if (listed.kind == ListedInstance::Kind::kEntry && listed.zone == zone_ &&
        listed.name != instance_)
      peers.push_back(listed.peer_address);
  }
  if (peers.empty())
    return;
  next_snapshot_ = now + kSnapshotInterval;
  outputs_->peer_client.FetchSnapshot(
      peers[snapshot_peer_++ % peers.size()],
      [this](Result<std::vector<std::string>> parts) {
        if (!parts) {
          EventLog::Write(kSnapshotFailed,
                          {{"message", parts.error().message}});
          return;
        }
        (void)tasks_.Push(
            [this, parts = std::move(parts.value())] { LoadSnapshot(parts); });
      });
}

void ControlThread::LoadSnapshot(const std::vector<std::string>& parts) {
  if (log_was_read_)
    return;
  const auto loaded = controller_->LoadSnapshot(parts);
  if (!loaded) {
    EventLog::Write(kSnapshotFailed, {{"message", loaded.error().message}});
    return;
  }
  EventLog::Write(kSnapshotLoaded,
                  {{"next_offset", controller_->next_offset()}});
  outputs_->platform.ReadFrom(controller_->next_offset());
}

}  // namespace pollenrudder
