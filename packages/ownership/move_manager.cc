// Drains shards, appends move and quarantine records, and tracks their outcome.

#include "ownership/move_manager.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "ownership/ownership_events.h"

namespace pollenrudder {
namespace {

std::string_view StateName(UpstreamObserved::State state) {
  switch (state) {
    case UpstreamObserved::State::kReachable:
      return "reachable";
    case UpstreamObserved::State::kSuspect:
      return "suspect";
    case UpstreamObserved::State::kLost:
      return "lost";
  }
  return "reachable";
}

}  // namespace

MoveManager::MoveManager(ControlContext& context,
                         const LeaseManager& leases,
                         TargetChooser& targets,
                         HandoverInProgress handover_in_progress)
    : context_(context),
      leases_(leases),
      targets_(targets),
      handover_in_progress_(std::move(handover_in_progress)) {}

void MoveManager::OnTableChanged() {
  // The next leader continues from the log. A new term ends the drains of this
  // instance and discards what it observed of the upstream, even if it leads
  // the upstream again later.
  std::erase_if(upstreams_, [this](const auto& entry) {
    const LeaderLease* lease = leases_.Find(entry.first);
    if (lease && lease->term().leader_fence == entry.second.leader_fence)
      return false;
    targets_.SetLost(entry.first, false);
    return true;
  });
  std::erase_if(quarantines_, [this](const auto& entry) {
    return !context_.appender.pending(entry.second);
  });
  for (auto& [name, upstream] : upstreams_)
    Advance(name, upstream);
}

void MoveManager::OnUpstreamObserved(const UpstreamObserved& observed) {
  if (!leases_.Find(observed.upstream))
    return;
  const bool lost = observed.state == UpstreamObserved::State::kLost;
  targets_.SetLost(observed.upstream, lost);
  context_.AddLogEvent(kUpstreamState, {{"upstream", observed.upstream},
                                        {"state", StateName(observed.state)}});
  Upstream& upstream = FindOrAdd(observed.upstream);
  if (lost) {
    upstream.suspects.insert(upstream.suspects.end(),
                             observed.suspect_fingerprints.begin(),
                             observed.suspect_fingerprints.end());
  }
  if (!lost || !observed.suspect_fingerprints.empty())
    upstream.unproved_crashes.clear();
  upstream.unproved_crashes.insert(upstream.unproved_crashes.end(),
                                   observed.unproved_crashes.begin(),
                                   observed.unproved_crashes.end());
  Advance(observed.upstream, upstream);
}

void MoveManager::OnDrainFinished(const DrainFinished& finished) {
  const auto found = upstreams_.find(finished.upstream);
  if (found == upstreams_.end())
    return;
  Upstream& upstream = found->second;
  if (upstream.whole_drain == WholeDrain::kStarted &&
      upstream.drain_id == finished.drain_id) {
    upstream.whole_drain = WholeDrain::kFinished;
  }
  for (Batch& batch : upstream.batches)
    batch.drained = batch.drained || batch.drain_id == finished.drain_id;
  Advance(finished.upstream, upstream);
}

void MoveManager::OnMoveAdvised(const MoveAdvised& advice) {
  StartAdvisedMove({advice, context_.now.boot + kAdviceLifetime});
}

void MoveManager::StartAdvisedMove(const WaitingAdvice& waiting) {
  const MoveAdvised& advice = waiting.advice;
  const TermState* source = context_.table().FindTerm(advice.upstream);
  const TermState* target = context_.table().FindTerm(advice.target);
  if (!source || !target || source->service != target->service ||
      advice.upstream == advice.target || !targets_.Accepts(advice.target) ||
      targets_.IsLost(advice.upstream) || IsStopping(advice.upstream) ||
      !source->active || !leases_.IsActive(advice.upstream) ||
      handover_in_progress_(advice.upstream)) {
    return;
  }
  if (!context_.ReadyToAppend()) {
    if (context_.now.boot < waiting.until)
      advice_.push_back(waiting);
    return;
  }
  Upstream& upstream = FindOrAdd(advice.upstream);
  const std::vector<std::uint32_t> unbatched =
      UnbatchedShards(advice.upstream, upstream);
  std::vector<std::uint32_t> advised_shards = advice.shards;
  std::sort(advised_shards.begin(), advised_shards.end());
  advised_shards.erase(
      std::unique(advised_shards.begin(), advised_shards.end()),
      advised_shards.end());
  Batch batch;
  batch.target = advice.target;
  std::set_intersection(unbatched.begin(), unbatched.end(),
                        advised_shards.begin(), advised_shards.end(),
                        std::back_inserter(batch.shards));
  if (!batch.shards.empty())
    StartBatch(advice.upstream, upstream, std::move(batch));
}

void MoveManager::OnFingerprintConfirmed(
    const FingerprintConfirmed& confirmed) {
  const std::pair key(confirmed.service, confirmed.fingerprint);
  if (quarantines_.contains(key) || !context_.MayAppend())
    return;
  const WallTime until =
      std::chrono::time_point_cast<std::chrono::milliseconds>(
          context_.now.wall + kMarkLifetime);
  quarantines_[key] = context_.Append(
      QuarantineRecord{confirmed.service, confirmed.fingerprint, until});
  context_.AddLogEvent(
      kQuarantineSent,
      {{"service", confirmed.service}, {"fingerprint", confirmed.fingerprint}});
}

void MoveManager::OnHandoverGivenUp(const std::string& upstream) {
  const auto found = upstreams_.find(upstream);
  if (found != upstreams_.end())
    found->second.whole_drain = WholeDrain::kNone;
}

void MoveManager::OnTick() {
  for (const WaitingAdvice& waiting : std::exchange(advice_, {}))
    StartAdvisedMove(waiting);
  for (const std::string& name : leases_.LedUpstreams()) {
    const TermState* term = context_.table().FindTerm(name);
    const bool needs_advance =
        IsStopping(name) || targets_.IsLost(name) || (term && term->lost);
    if (needs_advance || upstreams_.contains(name)) {
      Upstream& upstream = FindOrAdd(name);
      ConfirmRemoved(name, upstream);
      Advance(name, upstream);
    }
  }
}

bool MoveManager::IsMoving(const std::string& upstream) const {
  const auto found = upstreams_.find(upstream);
  return found != upstreams_.end() &&
         (!found->second.batches.empty() ||
          found->second.whole_drain == WholeDrain::kStarted ||
          context_.appender.pending(found->second.lost_record));
}

std::size_t MoveManager::MovingShards(const std::string& upstream) const {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end())
    return 0;
  if (found->second.whole_drain != WholeDrain::kNone)
    return context_.table().ShardsOf(upstream).size();
  std::size_t shards = 0;
  for (const Batch& batch : found->second.batches)
    shards += batch.shards.size();
  return shards;
}

void MoveManager::ConfirmRemoved(const std::string& name, Upstream& upstream) {
  if (upstream.unproved_crashes.empty() ||
      context_.directory.MissingFor(name, context_.now.boot) < kRemovedTimeout)
    return;
  const std::string service = context_.table().FindTerm(name)->service;
  for (const auto& crash : std::exchange(upstream.unproved_crashes, {})) {
    upstream.suspects.push_back(crash.fingerprint);
    if (crash.ran_alone)
      OnFingerprintConfirmed({service, crash.fingerprint});
  }
}

MoveManager::Upstream& MoveManager::FindOrAdd(const std::string& name) {
  Upstream& upstream = upstreams_[name];
  upstream.leader_fence = leases_.Find(name)->term().leader_fence;
  return upstream;
}

void MoveManager::Advance(const std::string& name, Upstream& upstream) {
  // A move before the `active` record would be ignored, because the previous
  // leader may still be sending.
  const TermState* term = context_.table().FindTerm(name);
  if (!term || !term->active || !context_.MayAppend())
    return;
  if (targets_.IsLost(name))
    AdvanceLost(name, upstream);
  else
    EndLost(name, upstream);
  AdvanceBatches(name, upstream);
}

void MoveManager::AdvanceLost(const std::string& name, Upstream& upstream) {
  if (handover_in_progress_(name) ||
      context_.appender.pending(upstream.lost_record)) {
    return;
  }
  const std::vector<std::uint32_t> shards = context_.table().ShardsOf(name);
  if (!shards.empty() && upstream.whole_drain == WholeDrain::kNone) {
    upstream.whole_drain = WholeDrain::kStarted;
    upstream.drain_id = context_.StartDrain({0, name, {}, true, true});
    context_.AddLogEvent(kDrainStarted, {{"upstream", name},
                                         {"shards", shards.size()},
                                         {"cause", "upstream_lost"}});
  }
  if (upstream.whole_drain == WholeDrain::kStarted)
    return;
  std::vector<ShardMove> moves = PlanMoves(name, shards, {});
  if (!shards.empty() && moves.empty())
    LogNoTarget(name, upstream);
  const bool recorded = context_.table().FindTerm(name)->lost;
  if (moves.empty() && upstream.suspects.empty() && recorded)
    return;
  upstream.no_target_logged = false;
  upstream.lost_record =
      AppendMove(name, std::move(moves), std::exchange(upstream.suspects, {}),
                 "upstream_lost");
}

void MoveManager::EndLost(const std::string& name, Upstream& upstream) {
  // While the outcome of the record is unknown, the shards may have other
  // owners.
  if (context_.appender.pending(upstream.lost_record))
    return;
  if (context_.table().FindTerm(name)->lost && leases_.IsActive(name))
    upstream.lost_record = AppendMove(name, {}, {}, "upstream_reachable");
  if (upstream.whole_drain == WholeDrain::kNone || handover_in_progress_(name))
    return;
  upstream.whole_drain = WholeDrain::kNone;
  context_.deferred_actions.emplace_back(ResumeShards{name, {}, true});
}

void MoveManager::AdvanceBatches(const std::string& name, Upstream& upstream) {
  if (!targets_.IsLost(name) && IsStopping(name))
    StartStopBatches(name, upstream);
  std::erase_if(upstream.batches, [&](Batch& batch) {
    return !AdvanceBatch(name, upstream, batch);
  });
}

bool MoveManager::AdvanceBatch(const std::string& name,
                               Upstream& upstream,
                               Batch& batch) {
  if (context_.appender.pending(batch.record))
    return true;
  if (targets_.IsLost(name)) {
    // The drain of the whole upstream replaces the drain of the batch.
    Resume(name, batch.shards);
    return false;
  }
  const bool advised = !batch.target.empty();
  const std::vector<std::uint32_t> owned = context_.table().ShardsOf(name);
  const bool owns_any = std::any_of(
      batch.shards.begin(), batch.shards.end(), [&](std::uint32_t shard) {
        return std::binary_search(owned.begin(), owned.end(), shard);
      });
  if (!owns_any)
    return false;
  const bool timed_out =
      !batch.drained &&
      context_.now.boot >= batch.started_at + kAdvisedDrainTimeout;
  const bool still_needed = advised ? batch.record.empty() && !timed_out &&
                                          targets_.Accepts(batch.target)
                                    : IsStopping(name);
  if (!still_needed) {
    context_.AddLogEvent(kMoveGivenUp,
                         {{"upstream", name}, {"shards", batch.shards.size()}});
    Resume(name, batch.shards);
    return false;
  }
  if (!batch.drained)
    return true;
  std::vector<ShardMove> moves = PlanMoves(name, batch.shards, batch.target);
  if (moves.empty())
    LogNoTarget(name, upstream);
  else
    batch.record = AppendMove(name, std::move(moves), {},
                              advised ? "advised" : "upstream_stopping");
  return true;
}

void MoveManager::StartStopBatches(const std::string& name,
                                   Upstream& upstream) {
  if (handover_in_progress_(name) || !leases_.IsActive(name))
    return;
  const std::vector<std::uint32_t> shards = UnbatchedShards(name, upstream);
  if (shards.empty() || !context_.ReadyToAppend())
    return;
  // Shards without a target continue to be served by this upstream.
  if (PlanMoves(name, shards, {}).empty()) {
    LogNoTarget(name, upstream);
    return;
  }
  const std::size_t size = (shards.size() + kStopBatches - 1) / kStopBatches;
  for (std::size_t begin = 0; begin < shards.size(); begin += size) {
    const std::size_t end = std::min(begin + size, shards.size());
    Batch batch;
    batch.shards.assign(shards.begin() + static_cast<std::ptrdiff_t>(begin),
                        shards.begin() + static_cast<std::ptrdiff_t>(end));
    StartBatch(name, upstream, std::move(batch));
  }
}

void MoveManager::StartBatch(const std::string& name,
                             Upstream& upstream,
                             Batch batch) {
  context_.AddLogEvent(
      kDrainStarted,
      {{"upstream", name},
       {"shards", batch.shards.size()},
       {"cause", batch.target.empty() ? "upstream_stopping" : "advised"}});
  batch.started_at = context_.now.boot;
  batch.drain_id = context_.StartDrain({0, name, batch.shards, false, false});
  upstream.batches.push_back(std::move(batch));
}

void MoveManager::Resume(const std::string& name,
                         const std::vector<std::uint32_t>& shards) {
  context_.deferred_actions.emplace_back(ResumeShards{name, shards, false});
}

std::vector<ShardMove> MoveManager::PlanMoves(
    const std::string& name,
    const std::vector<std::uint32_t>& shards,
    const std::string& target) const {
  std::vector<ShardMove> moves;
  const TermState* term = context_.table().FindTerm(name);
  const std::vector<ShardState>* shard_states =
      term ? context_.table().FindShards(term->service) : nullptr;
  if (!shard_states)
    return moves;
  std::map<std::uint32_t, std::string> chosen;
  if (target.empty())
    chosen = targets_.Choose(term->service, name);
  for (const std::uint32_t shard : shards) {
    if ((*shard_states)[shard].upstream != name)
      continue;
    const auto found = chosen.find(shard);
    const std::string& to = found == chosen.end() ? target : found->second;
    if (!to.empty())
      moves.push_back({shard, (*shard_states)[shard].placed_offset, to});
  }
  return moves;
}

std::string MoveManager::AppendMove(const std::string& name,
                                    std::vector<ShardMove> moves,
                                    std::vector<std::uint64_t> suspects,
                                    const char* cause) {
  const TermState* term = context_.table().FindTerm(name);
  context_.AddLogEvent(kMoveSent, {{"upstream", name},
                                   {"term", term->term},
                                   {"shards", moves.size()},
                                   {"suspects", suspects.size()},
                                   {"cause", cause}});
  const WallTime until =
      std::chrono::time_point_cast<std::chrono::milliseconds>(
          context_.now.wall + kMarkLifetime);
  return context_.Append(MoveRecord{name, term->term, term->service,
                                    std::move(moves), std::move(suspects),
                                    until, targets_.IsLost(name)});
}

void MoveManager::LogNoTarget(const std::string& name, Upstream& upstream) {
  if (std::exchange(upstream.no_target_logged, true))
    return;
  context_.AddLogEvent(kNoTarget, {{"upstream", name}});
}

bool MoveManager::IsStopping(const std::string& name) const {
  return context_.stops.IsUpstreamStopping(name);
}

std::vector<std::uint32_t> MoveManager::UnbatchedShards(
    const std::string& name,
    const Upstream& upstream) const {
  std::vector<std::uint32_t> moving;
  for (const Batch& batch : upstream.batches)
    moving.insert(moving.end(), batch.shards.begin(), batch.shards.end());
  std::sort(moving.begin(), moving.end());
  const std::vector<std::uint32_t> owned = context_.table().ShardsOf(name);
  std::vector<std::uint32_t> unbatched;
  std::set_difference(owned.begin(), owned.end(), moving.begin(), moving.end(),
                      std::back_inserter(unbatched));
  return unbatched;
}

}  // namespace pollenrudder
