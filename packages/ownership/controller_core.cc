// Dispatches inputs to the components of Controller and assembles the actions.

#include "ownership/controller_core.h"

#include <algorithm>
#include <utility>

#include "ownership/ownership_events.h"
#include "ownership/routing_table_builder.h"
#include "ownership/status_report.h"

namespace pollenrudder {
namespace {

// Whether the record changes the routing table. A rebuild takes 20 ms or more
// at the planned capacity, and most records are checkpoint parts.
bool ChangesRouting(const AppliedRecord& applied) {
  if (applied.effect != AppliedRecord::Effect::kApplied || !applied.record)
    return false;
  const LogRecordBody& body = applied.record->body;
  return !std::holds_alternative<ActiveRecord>(body) &&
         !std::holds_alternative<AbandonRecord>(body) &&
         !std::holds_alternative<QuarantineRecord>(body) &&
         !std::holds_alternative<CheckpointRecord>(body);
}

}  // namespace

Controller::Core::Core(ControllerOptions options)
    : context_(std::move(options)),
      claims_(context_),
      leases_(context_,
              [this](const std::string& upstream) {
                return claims_.OwnPromiseExpiry(upstream);
              }),
      load_planner_(context_),
      targets_(context_,
               [this](const std::string& service, std::uint32_t shard) {
                 return load_planner_.LoadOf(service, shard);
               }),
      placer_(context_, targets_),
      moves_(context_,
             leases_,
             targets_,
             [this](const std::string& upstream) {
               return handover_.InProgress(upstream);
             }),
      handover_(context_, leases_, moves_),
      checkpoints_(context_) {}

std::vector<ControllerAction> Controller::Core::Handle(
    const ControllerInput& input,
    const Now& now) {
  context_.now = now;
  context_.log_read_requested = false;
  if (std::exchange(snapshot_loaded_, false)) {
    OnTableChanged();
    routing_outdated_ = true;
    MarkAllFingerprints();
  }
  std::visit([this](const auto& event) { On(event); }, input);
  PublishRoutingTable();
  leases_.PublishLeases();
  for (ControllerAction& action : context_.deferred_actions)
    context_.AddAction(std::move(action));
  context_.deferred_actions.clear();
  FinishLeave();
  ReadLogIfNeeded();
  return std::exchange(context_.actions, {});
}

std::vector<std::string> Controller::Core::Snapshot() const {
  return context_.replay.Snapshot();
}

Result<void> Controller::Core::LoadSnapshot(
    const std::vector<std::string>& parts) {
  BOOST_OUTCOME_TRY(context_.replay.LoadSnapshot(parts));
  snapshot_loaded_ = true;
  return boost::outcome_v2::success();
}

std::string Controller::Core::StatusJson(const Now& now) const {
  return ReportStatus(context_, leases_, moves_, targets_, checkpoints_, now);
}

void Controller::Core::On(const LogRecordsRead& read) {
  log_failing_ = false;
  first_retained_ = std::max(first_retained_, read.first_retained);
  const bool was_seeking = context_.replay.seeking_checkpoint();
  const LogReplay::Outcome outcome =
      context_.replay.OnLogRead(read, context_.now.boot);
  if (outcome.error)
    context_.AddLogEvent(kLogRegression, {{"message", outcome.error->message}});
  if (!was_seeking && context_.replay.seeking_checkpoint()) {
    context_.AddLogEvent(kCheckpointAwaited,
                         {{"first_retained", read.first_retained}});
  }
  if (outcome.loaded_checkpoint) {
    context_.AddLogEvent(kCheckpointLoaded,
                         {{"applied", context_.table().applied()}});
    MarkAllFingerprints();
  }
  for (const AppliedRecord& applied : outcome.records)
    OnRecord(applied);
  if (outcome.loaded_checkpoint || !outcome.records.empty())
    OnTableChanged();
  routing_outdated_ = routing_outdated_ || outcome.loaded_checkpoint ||
                      std::any_of(outcome.records.begin(),
                                  outcome.records.end(), ChangesRouting);
  read_again_ = outcome.read_again;
  if (!outcome.proved)
    return;
  context_.last_proof_time = std::max(
      context_.last_proof_time.value_or(read.proof_time), read.proof_time);
  claims_.OnLogReadToEnd(read.proof_time);
  leases_.OnLogRead(read.proof_time, true);
  context_.appender.OnLogReadToEnd(read.proof_time, context_.now.boot,
                                   context_.actions);
}

void Controller::Core::On(const LogReadFailed& /*failure*/) {
  log_failing_ = true;
  claims_.OnLogReadFailed();
}

void Controller::Core::On(const AppendFinished& finished) {
  context_.appender.OnAppendFinished(finished, context_.now.boot);
}

void Controller::Core::On(const PromiseRequested& request) {
  context_.last_message_at[request.leader] = context_.now.boot;
  claims_.OnPromiseRequested(request);
}

void Controller::Core::On(const PromiseAnswered& answer) {
  if (answer.answered)
    context_.last_message_at[answer.voter] = context_.now.boot;
  leases_.OnPromise(answer);
  // The voter has read further than this instance, so the log may hold a claim.
  if (answer.voter_offset >= context_.replay.next_offset())
    context_.log_read_requested = true;
}

void Controller::Core::On(const InstancesListed& listed) {
  context_.directory.OnInstancesListed(listed.instances, context_.now.boot);
  UpdateStops();
}

void Controller::Core::On(const UpstreamObserved& observed) {
  moves_.OnUpstreamObserved(observed);
}

void Controller::Core::On(const FingerprintConfirmed& confirmed) {
  moves_.OnFingerprintConfirmed(confirmed);
}

void Controller::Core::On(const DrainFinished& finished) {
  moves_.OnDrainFinished(finished);
  handover_.OnDrainFinished(finished);
}

void Controller::Core::On(const LoadReported& report) {
  context_.last_message_at[report.from] = context_.now.boot;
  load_planner_.OnLoadReported(report, FirstUpstreams());
}

void Controller::Core::On(const MoveAdvised& advice) {
  moves_.OnMoveAdvised(advice);
}

void Controller::Core::On(const LeaveRequested& /*request*/) {
  if (std::exchange(context_.leaving, true))
    return;
  context_.AddLogEvent(kLeaveStarted,
                       {{"terms", leases_.LedUpstreams().size()}});
  handover_.OnTick();
}

void Controller::Core::On(const Tick& /*tick*/) {
  context_.appender.OnTick(context_.now.boot);
  const bool tasks_due =
      !last_tasks_at_ || context_.now.boot >= *last_tasks_at_ + kTaskInterval;
  if (tasks_due) {
    last_tasks_at_ = context_.now.boot;
    UpdateStops();
  }
  claims_.OnTick(leases_);
  leases_.OnTick();
  moves_.OnTick();
  handover_.OnTick();
  if (tasks_due)
    RunLeaderTasks();
}

void Controller::Core::RunLeaderTasks() {
  const std::map<std::string, std::string> first = FirstUpstreams();
  for (const auto& [service, upstream] : first) {
    if (!leases_.IsActive(upstream) || !context_.MayAppend())
      continue;
    placer_.OnTick(service);
    if (!routing_ || !routing_->FindService(service))
      continue;
    for (const MoveAdvised& advice : load_planner_.OnTick(service, *routing_))
      moves_.OnMoveAdvised(advice);
  }
  const auto& terms = context_.table().state().terms;
  if (!terms.empty() && leases_.IsActive(terms.begin()->first))
    checkpoints_.OnTick(first_retained_);
}

std::map<std::string, std::string> Controller::Core::FirstUpstreams() const {
  std::map<std::string, std::string> first;
  for (const auto& [upstream, term] : context_.table().state().terms)
    first.try_emplace(term.service, upstream);
  return first;
}

void Controller::Core::OnRecord(const AppliedRecord& applied) {
  LogOutcome(applied);
  if (!applied.record)
    return;
  const LogRecord& record = *applied.record;
  if (const auto* move = std::get_if<MoveRecord>(&record.body)) {
    Mark(move->service, move->suspects, {}, move->suspects_until);
  } else if (const auto* mark = std::get_if<QuarantineRecord>(&record.body)) {
    Mark(mark->service, {}, {mark->fingerprint}, mark->until);
  } else if (const auto* part = std::get_if<CheckpointRecord>(&record.body)) {
    checkpoints_.OnCheckpointRead(applied.offset, *part);
  }
  if (record.by != context_.self())
    return;
  context_.appender.OnRecordRead(record.id);
  claims_.OnOwnRecord(record);
}

void Controller::Core::LogOutcome(const AppliedRecord& applied) {
  using Effect = AppliedRecord::Effect;
  if (!applied.record) {
    context_.AddLogEvent(
        applied.effect == Effect::kUnsupported ? kRecordUnsupported
                                               : kRecordMalformed,
        {{"offset", applied.offset}, {"reason", applied.reason}});
    return;
  }
  const LogRecord& record = *applied.record;
  if (const auto* section = std::get_if<SectionRecord>(&record.body)) {
    const bool in_force = applied.effect == Effect::kApplied;
    context_.AddLogEvent(in_force ? kSectionApplied : kSectionRefused,
                         {{"team", section->team},
                          {"offset", applied.offset},
                          {"reason", applied.reason}});
  } else if (!applied.reason.empty() &&
             !std::holds_alternative<CheckpointRecord>(record.body)) {
    context_.AddLogEvent(kRecordIgnored, {{"offset", applied.offset},
                                          {"record", record.id},
                                          {"reason", applied.reason}});
  }
}

void Controller::Core::MarkAllFingerprints() {
  const TableState& state = context_.table().state();
  for (const FingerprintMark& mark : state.suspects)
    Mark(mark.service, {mark.fingerprint}, {}, mark.until);
  for (const FingerprintMark& mark : state.quarantined)
    Mark(mark.service, {}, {mark.fingerprint}, mark.until);
}

void Controller::Core::Mark(const std::string& service,
                            const std::vector<std::uint64_t>& suspects,
                            const std::vector<std::uint64_t>& quarantined,
                            WallTime until) {
  if (until <= context_.now.wall || (suspects.empty() && quarantined.empty()))
    return;
  context_.AddAction(MarkFingerprints{service, suspects, quarantined});
}

void Controller::Core::FinishLeave() {
  if (!context_.leaving || leave_finished_ || !handover_.AllTermsHandedOver()) {
    return;
  }
  leave_finished_ = true;
  context_.AddLogEvent(kLeaveCompleted,
                       {{"terms_left", leases_.LedUpstreams().size()}});
  context_.AddAction(LeaveFinished{});
}

void Controller::Core::OnTableChanged() {
  claims_.OnTableChanged();
  leases_.OnTableChanged();
  UpdateStops();
  handover_.OnTableChanged();
  moves_.OnTableChanged();
}

void Controller::Core::UpdateStops() {
  for (const std::string& upstream : context_.stops.Update(
           context_.table(), context_.directory, context_.now)) {
    routing_outdated_ = true;
    const bool stopping = context_.stops.IsUpstreamStopping(upstream);
    context_.AddLogEvent(kUpstreamStopping,
                         {{"upstream", upstream}, {"stopping", stopping}});
  }
}

void Controller::Core::PublishRoutingTable() {
  if (!std::exchange(routing_outdated_, false))
    return;
  routing_ = BuildRoutingTable(context_.table(), context_.stops);
  context_.AddAction(pollenrudder::PublishRoutingTable{routing_});
}

void Controller::Core::ReadLogIfNeeded() {
  const BootTime now = context_.now.boot;
  const bool urgent =
      context_.log_read_requested || context_.appender.NeedsLogRead(now);
  if (!read_again_ && !urgent && !leases_.NeedsLogRead())
    return;
  const std::chrono::nanoseconds interval =
      urgent && !log_failing_ ? std::chrono::nanoseconds(kUrgentReadInterval)
                              : context_.options.log_read_interval;
  if (!read_again_ && last_read_at_ && now < *last_read_at_ + interval)
    return;
  read_again_ = false;
  last_read_at_ = now;
  context_.AddAction(ReadLogNow{context_.replay.next_offset()});
}

}  // namespace pollenrudder
