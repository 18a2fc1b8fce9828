// Checks the preconditions of log records and applies their effects.

#include "ownership/ownership_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "ownership/term_rules.h"

namespace pollenrudder {
namespace {

template <typename T>
void DropOldest(std::vector<T>& values, std::size_t limit) {
  if (values.size() > limit) {
    values.erase(values.begin(),
                 values.end() - static_cast<std::ptrdiff_t>(limit));
  }
}

// Adds a mark or replaces it, which extends its lifetime.
void AddMark(std::vector<FingerprintMark>& marks, const FingerprintMark& mark) {
  std::erase_if(marks, [&](const FingerprintMark& other) {
    return other.service == mark.service &&
           other.fingerprint == mark.fingerprint;
  });
  marks.push_back(mark);
  DropOldest(marks, OwnershipTable::kMaxMarks);
}

}  // namespace

OwnershipTable::OwnershipTable(const LeaseDurations& durations)
    : durations_(durations) {}

Result<OwnershipTable> OwnershipTable::FromState(
    TableState state,
    const LeaseDurations& durations) {
  OwnershipTable table(durations);
  for (const auto& [team, version] : state.sections) {
    Document::CheckedSection checked =
        table.document_.CheckReplacement(team, version.text);
    if (!checked.valid()) {
      return MakeError(
          ErrorKind::kUnsupportedRecord,
          "the section of " + team + " in a checkpoint is invalid");
    }
    table.document_.Replace(std::move(checked.section));
  }
  table.state_ = std::move(state);
  return table;
}

AppliedRecord OwnershipTable::Apply(LogOffset offset, std::string_view data) {
  assert(offset > state_.offset);
  state_.offset = offset;
  AppliedRecord outcome;
  outcome.offset = offset;
  Result<LogRecord> decoded = DecodeLogRecord(data);
  if (!decoded) {
    outcome.effect = decoded.error().kind == ErrorKind::kUnsupportedRecord
                         ? AppliedRecord::Effect::kUnsupported
                         : AppliedRecord::Effect::kMalformed;
    outcome.reason = decoded.error().message;
    return outcome;
  }
  outcome.record = std::move(decoded).value();
  bool applied = false;
  outcome.reason = std::visit(
      [&](const auto& body) {
        return ApplyBody(*outcome.record, body, offset, applied);
      },
      outcome.record->body);
  outcome.effect = applied ? AppliedRecord::Effect::kApplied
                           : AppliedRecord::Effect::kIgnored;
  return outcome;
}

const TermState* OwnershipTable::FindTerm(std::string_view upstream) const {
  const auto found = state_.terms.find(std::string(upstream));
  return found == state_.terms.end() ? nullptr : &found->second;
}

const std::vector<ShardState>* OwnershipTable::FindShards(
    std::string_view service) const {
  const auto found = state_.shards.find(service);
  return found == state_.shards.end() ? nullptr : &found->second;
}

std::vector<std::uint32_t> OwnershipTable::ShardsOf(
    std::string_view upstream) const {
  std::vector<std::uint32_t> owned;
  const TermState* term = FindTerm(upstream);
  const std::vector<ShardState>* shards =
      term ? FindShards(term->service) : nullptr;
  if (!shards)
    return owned;
  for (std::uint32_t shard = 0; shard < shards->size(); ++shard) {
    if ((*shards)[shard].has_owner() && (*shards)[shard].upstream == upstream)
      owned.push_back(shard);
  }
  return owned;
}

std::string OwnershipTable::ApplyBody(const LogRecord& /*record*/,
                                      const SectionRecord& body,
                                      LogOffset offset,
                                      bool& applied) {
  const auto current = state_.sections.find(body.team);
  const LogOffset current_offset =
      current == state_.sections.end() ? kNoOffset : current->second.offset;
  if (current_offset != body.previous)
    return "another section is in force";
  Document::CheckedSection checked =
      document_.CheckReplacement(body.team, body.text);
  if (!checked.valid())
    return "invalid section: " + checked.errors.front().message;
  std::string reason = CheckShardCounts(checked.section);
  if (!reason.empty())
    return reason;
  document_.Replace(std::move(checked.section));
  state_.sections[body.team] = SectionVersion{offset, body.text};
  applied = true;
  return {};
}

std::string OwnershipTable::ApplyBody(const LogRecord& record,
                                      const TermRecord& body,
                                      LogOffset offset,
                                      bool& applied) {
  if (IsAbandoned(record.id))
    return "abandoned";
  std::string reason;
  for (const TermEntry& entry : body.entries) {
    const TermState* current = FindTerm(entry.upstream);
    std::string entry_reason =
        CheckTermEntry(durations_, document_, current, entry, record.by);
    if (!entry_reason.empty()) {
      reason = std::move(entry_reason);
      continue;
    }
    state_.terms[entry.upstream] = MakeTerm(current, entry, offset, record.id);
    applied = true;
  }
  return reason;
}

std::string OwnershipTable::ApplyBody(const LogRecord& record,
                                      const ActiveRecord& body,
                                      LogOffset /*offset*/,
                                      bool& applied) {
  const TermState* term = FindTerm(body.upstream);
  if (!term || term->term != body.term)
    return "another term is current";
  if (term->leader != record.by)
    return "not written by the leader";
  state_.terms[body.upstream].active = true;
  applied = true;
  return {};
}

std::string OwnershipTable::ApplyBody(const LogRecord& /*record*/,
                                      const AbandonRecord& body,
                                      LogOffset /*offset*/,
                                      bool& applied) {
  applied = true;
  if (IsAbandoned(body.record))
    return {};
  state_.abandoned.push_back(body.record);
  DropOldest(state_.abandoned, kMaxAbandoned);
  return {};
}

std::string OwnershipTable::ApplyBody(const LogRecord& /*record*/,
                                      const PlaceRecord& body,
                                      LogOffset offset,
                                      bool& applied) {
  const ServiceSettings* settings = document_.FindService(body.service);
  if (!settings || !settings->is_sharded)
    return "the service has no shards";
  std::string reason;
  for (const PlacedShard& placement : body.placements) {
    if (placement.shard >= settings->shards) {
      reason = "no such shard";
      continue;
    }
    if (!CanOwnShards(placement.upstream, body.service)) {
      reason = "the upstream has no term";
      continue;
    }
    std::vector<ShardState>& shards = state_.shards[body.service];
    shards.resize(settings->shards);
    ShardState& shard = shards[placement.shard];
    if (shard.has_owner()) {
      reason = "the shard has an owner";
      continue;
    }
    shard = ShardState{placement.upstream, offset};
    applied = true;
  }
  return reason;
}

std::string OwnershipTable::ApplyBody(const LogRecord& record,
                                      const MoveRecord& body,
                                      LogOffset offset,
                                      bool& applied) {
  // A fingerprint that crashed an upstream is suspect even if the shards of the
  // upstream have moved meanwhile.
  for (const std::uint64_t fingerprint : body.suspects) {
    AddMark(state_.suspects, {body.service, fingerprint, body.suspects_until});
    applied = true;
  }
  const TermState* term = FindTerm(body.upstream);
  if (!term || term->term != body.term)
    return "another term is current";
  // The leader replaced by this term may still be sending requests to the
  // shards.
  if (term->leader != record.by || !term->active)
    return "not written by the active leader";
  if (term->lost != body.lost) {
    state_.terms[body.upstream].lost = body.lost;
    applied = true;
  }
  const auto found = state_.shards.find(term->service);
  std::string reason;
  for (const ShardMove& move : body.moves) {
    if (found == state_.shards.end() || move.shard >= found->second.size()) {
      reason = "no such shard";
      continue;
    }
    ShardState& shard = found->second[move.shard];
    if (shard.upstream != body.upstream ||
        shard.placed_offset != move.placed_offset) {
      reason = "the shard was placed by another record";
      continue;
    }
    if (move.target == body.upstream ||
        !CanOwnShards(move.target, term->service)) {
      reason = "the target has no term";
      continue;
    }
    shard = ShardState{move.target, offset};
    applied = true;
  }
  return reason;
}

std::string OwnershipTable::ApplyBody(const LogRecord& /*record*/,
                                      const QuarantineRecord& body,
                                      LogOffset /*offset*/,
                                      bool& applied) {
  AddMark(state_.quarantined, {body.service, body.fingerprint, body.until});
  applied = true;
  return {};
}

std::string OwnershipTable::ApplyBody(const LogRecord& record,
                                      const RetireRecord& body,
                                      LogOffset /*offset*/,
                                      bool& applied) {
  const TermState* term = FindTerm(body.upstream);
  if (!term || term->term != body.term)
    return "another term is current";
  if (term->leader != record.by || !term->active)
    return "not written by the active leader";
  if (!ShardsOf(body.upstream).empty())
    return "the upstream owns shards";
  state_.terms.erase(body.upstream);
  applied = true;
  return {};
}

std::string OwnershipTable::ApplyBody(const LogRecord& /*record*/,
                                      const CheckpointRecord& /*body*/,
                                      LogOffset /*offset*/,
                                      bool& /*applied*/) {
  // A table that is already replayed never loads an older state.
  return "checkpoint";
}

bool OwnershipTable::IsAbandoned(const std::string& id) const {
  return std::find(state_.abandoned.begin(), state_.abandoned.end(), id) !=
         state_.abandoned.end();
}

bool OwnershipTable::CanOwnShards(const std::string& upstream,
                                  const std::string& service) const {
  const TermState* term = FindTerm(upstream);
  return term && term->service == service;
}

std::string OwnershipTable::CheckShardCounts(const Section& section) const {
  for (const ServiceSettings& service : section.services) {
    const std::vector<ShardState>* shards = FindShards(service.name);
    if (shards && (!service.is_sharded || shards->size() != service.shards))
      return "the shard count of " + service.name + " is fixed";
  }
  return {};
}

}  // namespace pollenrudder
