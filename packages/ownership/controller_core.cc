// Dispatch of inputs to the parts of Controller.

#include "ownership/controller_core.h"

#include <algorithm>
#include <utility>

#include "ownership/ownership_events.h"
#include "ownership/routing_table_builder.h"

namespace pollenrudder {

Controller::Core::Core(ControllerOptions options)
    : context_(std::move(options)),
      claimant_(context_),
      leases_(context_,
              [this](const std::string& upstream) {
                return claimant_.OwnPromiseEnd(upstream);
              }),
      targets_(context_, [](const std::string&, std::uint32_t) { return 1.0; }),
      placer_(context_, targets_) {}

std::vector<ControllerAction> Controller::Core::Handle(
    const ControllerInput& input,
    const Now& now) {
  context_.now = now;
  context_.read_wanted = false;
  if (std::exchange(snapshot_loaded_, false))
    OnTableChanged();
  std::visit([this](const auto& event) { On(event); }, input);
  leases_.PublishLeases();
  PublishRoutingTable();
  ReadLogIfWanted();
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

std::string Controller::Core::StatusJson(const Now& /*now*/) const {
  return "{}";
}

void Controller::Core::On(const LogRecordsRead& read) {
  log_failing_ = false;
  const bool was_seeking = context_.replay.seeking_checkpoint();
  const LogReplay::Outcome outcome =
      context_.replay.OnLogRead(read, context_.now.boot);
  if (outcome.error)
    context_.Decide(kLogRegression, {{"message", outcome.error->message}});
  if (!was_seeking && context_.replay.seeking_checkpoint()) {
    context_.Decide(kCheckpointAwaited,
                    {{"first_retained", read.first_retained}});
  }
  if (outcome.loaded_checkpoint) {
    context_.Decide(kCheckpointLoaded,
                    {{"applied", context_.table().applied()}});
  }
  for (const AppliedRecord& applied : outcome.records)
    OnRecord(applied);
  if (outcome.loaded_checkpoint || !outcome.records.empty())
    OnTableChanged();
  read_again_ = outcome.read_again;
  if (!outcome.proved)
    return;
  context_.last_proof =
      std::max(context_.last_proof.value_or(read.proof_time), read.proof_time);
  claimant_.OnLogProof(read.proof_time);
  leases_.OnLogRead(read.proof_time, true);
  context_.appender.OnLogProof(read.proof_time, context_.now.boot,
                               context_.actions);
}

void Controller::Core::On(const LogReadFailed& /*failure*/) {
  log_failing_ = true;
  claimant_.OnLogReadFailed();
}

void Controller::Core::On(const AppendFinished& finished) {
  context_.appender.OnAppendFinished(finished, context_.now.boot);
}

void Controller::Core::On(const PromiseRequested& request) {
  claimant_.OnPromiseRequested(request);
}

void Controller::Core::On(const PromiseAnswered& answer) {
  leases_.OnPromise(answer);
  // The voter has read more of the log, perhaps a claim.
  if (answer.voter_offset >= context_.replay.next_offset())
    context_.read_wanted = true;
}

void Controller::Core::On(const InstancesListed& listed) {
  context_.directory.OnListed(listed.instances, context_.now.boot);
  UpdateStops();
}

void Controller::Core::On(const UpstreamObserved& observed) {
  targets_.SetLost(observed.upstream,
                   observed.state == UpstreamObserved::State::kLost);
}

void Controller::Core::On(const FingerprintConfirmed& /*confirmed*/) {}

void Controller::Core::On(const DrainFinished& /*finished*/) {}

void Controller::Core::On(const LoadReported& /*report*/) {}

void Controller::Core::On(const MoveAdvised& /*advice*/) {}

void Controller::Core::On(const LeaveRequested& /*request*/) {
  context_.leaving = true;
}

void Controller::Core::On(const Tick& /*tick*/) {
  context_.appender.OnTick(context_.now.boot);
  UpdateStops();
  claimant_.OnTick(leases_);
  leases_.OnTick();
  for (const auto& [service, upstream] : FirstUpstreams()) {
    if (leases_.IsActive(upstream))
      placer_.OnTick(service);
  }
}

std::map<std::string, std::string> Controller::Core::FirstUpstreams() const {
  std::map<std::string, std::string> first;
  for (const auto& [upstream, term] : context_.table().state().terms)
    first.try_emplace(term.service, upstream);
  return first;
}

void Controller::Core::OnRecord(const AppliedRecord& applied) {
  using Effect = AppliedRecord::Effect;
  if (!applied.record) {
    context_.Decide(applied.effect == Effect::kUnsupported ? kRecordUnsupported
                                                           : kRecordMalformed,
                    {{"offset", applied.offset}, {"reason", applied.reason}});
    return;
  }
  const LogRecord& record = *applied.record;
  if (const auto* section = std::get_if<SectionRecord>(&record.body)) {
    const bool in_force = applied.effect == Effect::kApplied;
    context_.Decide(in_force ? kSectionApplied : kSectionRefused,
                    {{"team", section->team},
                     {"offset", applied.offset},
                     {"reason", applied.reason}});
  } else if (!applied.reason.empty() &&
             !std::holds_alternative<CheckpointRecord>(record.body)) {
    context_.Decide(kRecordIgnored, {{"offset", applied.offset},
                                     {"record", record.id},
                                     {"reason", applied.reason}});
  }
  if (record.by != context_.self())
    return;
  context_.appender.OnRecordRead(record.id);
  claimant_.OnOwnRecord(record);
}

void Controller::Core::OnTableChanged() {
  claimant_.OnTableChanged();
  leases_.OnTableChanged();
  UpdateStops();
  routing_outdated_ = true;
}

void Controller::Core::UpdateStops() {
  for (const std::string& upstream : context_.stops.Update(
           context_.table(), context_.directory, context_.now)) {
    routing_outdated_ = true;
    const bool stopping = context_.stops.IsUpstreamStopping(upstream);
    context_.Decide(kUpstreamStopping,
                    {{"upstream", upstream}, {"stopping", stopping}});
  }
}

void Controller::Core::PublishRoutingTable() {
  if (!std::exchange(routing_outdated_, false))
    return;
  context_.Act(pollenrudder::PublishRoutingTable{
      BuildRoutingTable(context_.table(), context_.stops)});
}

void Controller::Core::ReadLogIfWanted() {
  const BootTime now = context_.now.boot;
  const bool urgent =
      context_.read_wanted || context_.appender.WantsLogRead(now);
  if (!read_again_ && !urgent && !leases_.WantsLogRead())
    return;
  const std::chrono::nanoseconds interval =
      urgent && !log_failing_ ? std::chrono::nanoseconds(kUrgentRead)
                              : context_.options.log_read;
  if (!read_again_ && last_read_sent_ && now < *last_read_sent_ + interval)
    return;
  read_again_ = false;
  last_read_sent_ = now;
  context_.Act(ReadLogNow{context_.replay.next_offset()});
}

}  // namespace pollenrudder
