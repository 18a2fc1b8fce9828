// Replays the simulated log, and describes a run as text.

#include <algorithm>
#include <array>

#include "ownership/lease_model_test.h"

namespace pollenrudder {

bool ModelTable::Apply(const ModelRecord& record, LogOffset offset) {
  if (record.type == ModelRecord::Type::kAbandon) {
    abandoned_.insert(record.subject);
    return true;
  }
  if (record.type == ModelRecord::Type::kDeclareLost) {
    declared_lost_.insert(record.subject);
    return true;
  }
  const auto found = terms_.find(record.term.upstream);
  const LogOffset current =
      found == terms_.end() ? kNoOffset : found->second.term;
  if (current != record.previous || abandoned_.contains(record.id))
    return false;
  if (record.type == ModelRecord::Type::kActive) {
    found->second.active = true;
    return true;
  }

  TermState term = record.term;
  term.term = offset;
  term.record_id = record.id;
  term.leader_fence = offset;
  if (current != kNoOffset) {
    const TermState& old = found->second;
    if (term.kind == TermKind::kFirst)
      return false;
    if (term.kind == TermKind::kDeclaredLost &&
        !declared_lost_.contains(old.leader))
      return false;
    if (term.kind == TermKind::kClaim &&
        std::none_of(
            old.voters.begin(), old.voters.end(),
            [&](const Voter& voter) { return voter.instance == record.by; })) {
      return false;
    }
    if (term.kind == TermKind::kRevise || term.kind == TermKind::kHandover) {
      if (old.leader != record.by)
        return false;
    }
    if (term.kind == TermKind::kRevise) {
      term.leader_fence = old.leader_fence;
      term.active = old.active;
      term.wait = old.wait;
    }
  }
  terms_[term.upstream] = term;
  return true;
}

const TermState* ModelTable::Find(const std::string& upstream) const {
  const auto found = terms_.find(upstream);
  return found == terms_.end() ? nullptr : &found->second;
}

bool ModelTable::IsDeclaredLost(const std::string& instance) const {
  return declared_lost_.contains(instance);
}

std::string ToString(const ModelRun& run) {
  static constexpr std::array<const char*, ModelFault::kKinds> kNames = {
      "cut-zone-from-log",
      "cut-instance-from-log",
      "cut-zones",
      "cut-zone-from-all",
      "cut-pair",
      "cut-one-way",
      "log-down",
      "slow-appends",
      "pause",
      "crash",
      "handover",
      "revise",
      "isolate-holder-zone",
      "revise-then-cut-log",
      "slow-handover",
      "disputed-claim",
      "crash-claimant"};
  static_assert(kNames.back() != nullptr);
  std::string text = "seed " + std::to_string(run.seed) + ", " +
                     std::to_string(run.instances_per_zone) +
                     " instances per zone, read every " +
                     std::to_string(run.read_interval_steps) +
                     " steps, clocks " +
                     std::to_string(run.max_clock_drift_percent) + "%, " +
                     std::to_string(run.steps) + " steps";
  for (const ModelFault& fault : run.faults) {
    text += std::string("\n  ") +
            kNames.at(static_cast<std::size_t>(fault.kind)) + " at " +
            std::to_string(fault.start) + " for " +
            std::to_string(fault.duration) + ": " +
            std::to_string(fault.subject) + ", " + std::to_string(fault.other);
  }
  return text;
}

}  // namespace pollenrudder
