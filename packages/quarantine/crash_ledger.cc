// CrashLedger: sequences of crashes, and which request explains them.

#include "quarantine/crash_ledger.h"

#include <algorithm>
#include <functional>

namespace pollenrudder {

void CrashLedger::RecordCrash(const CrashReport& report, BootTime now) {
  RemoveExpired(now);
  CrashKey upstream(report.upstream.name, report.upstream.started_at);
  if (causes_.contains(report.fingerprint)) {
    explained_[upstream] = now;
    return;
  }
  auto known = requests_.find(report.fingerprint);
  if (known == requests_.end()) {
    EnsureCapacity();
    known = requests_.try_emplace(report.fingerprint).first;
    order_.push_back(report.fingerprint);
  }
  Crashes& crashes = known->second;
  // The report of another instance, or a repeated one.
  if (std::ranges::find(crashes, upstream, &Crash::upstream) != crashes.end())
    return;
  const auto position = std::ranges::upper_bound(
      crashes, report.lost_at, std::less<>(), &Crash::lost_at);
  crashes.insert(position,
                 {std::move(upstream), report.sent_at, report.lost_at});
  if (crashes.size() >= kCrashesOfSuspect)
    candidates_.insert(report.fingerprint);
}

bool CrashLedger::RecordResponse(std::uint64_t fingerprint) {
  candidates_.erase(fingerprint);
  return requests_.erase(fingerprint) > 0;
}

CrashLedger::Sequence CrashLedger::SequenceOf(const Crashes& crashes) const {
  Sequence sequence;
  BootTime last_crash = BootTime::min();
  for (const Crash& crash : crashes) {
    if (crash.sent_at < last_crash || explained_.contains(crash.upstream))
      continue;
    last_crash = crash.lost_at;
    if (++sequence.length == kCrashesOfCause)
      sequence.decisive = crash.lost_at;
  }
  return sequence;
}

bool CrashLedger::IsSuspect(std::uint64_t fingerprint) const {
  if (!candidates_.contains(fingerprint))
    return false;
  const std::size_t length = SequenceOf(requests_.at(fingerprint)).length;
  return length >= kCrashesOfSuspect &&
         std::ranges::none_of(candidates_, [&](std::uint64_t other) {
           return other != fingerprint &&
                  SequenceOf(requests_.at(other)).length >= length;
         });
}

CrashLedger::Verdict CrashLedger::FindVerdict() const {
  Verdict verdict;
  std::size_t longest = 0;
  for (const std::uint64_t fingerprint : candidates_) {
    const Sequence sequence = SequenceOf(requests_.at(fingerprint));
    if (sequence.length < kCrashesOfCause || sequence.length < longest)
      continue;
    if (sequence.length > longest)
      verdict = {};
    longest = sequence.length;
    verdict.fingerprints.push_back(fingerprint);
    verdict.valid_from =
        std::max(verdict.valid_from, sequence.decisive + kSettleTime);
  }
  if (verdict.fingerprints.size() > 1 && longest < kCrashesOfTiedCauses)
    return {};
  return verdict;
}

std::vector<std::uint64_t> CrashLedger::TakeCauses(BootTime now) {
  std::vector<std::uint64_t> causes;
  while (true) {
    const Verdict verdict = FindVerdict();
    if (verdict.fingerprints.empty() || now < verdict.valid_from)
      return causes;
    for (const std::uint64_t fingerprint : verdict.fingerprints) {
      SetCause(fingerprint, now);
      causes.push_back(fingerprint);
    }
  }
}

std::optional<BootTime> CrashLedger::NextDecision() const {
  const Verdict verdict = FindVerdict();
  if (verdict.fingerprints.empty())
    return std::nullopt;
  return verdict.valid_from;
}

void CrashLedger::SetCause(std::uint64_t fingerprint, BootTime now) {
  causes_[fingerprint] = now;
  const auto known = requests_.find(fingerprint);
  if (known == requests_.end())
    return;
  for (const Crash& crash : known->second)
    explained_[crash.upstream] = now;
  RecordResponse(fingerprint);
}

void CrashLedger::RemoveExpired(BootTime now) {
  const auto is_expired = [now](BootTime time) {
    return now >= time + kCrashRetention;
  };
  std::erase_if(causes_,
                [&](const auto& cause) { return is_expired(cause.second); });
  std::erase_if(explained_,
                [&](const auto& crash) { return is_expired(crash.second); });
  while (!order_.empty()) {
    const auto first = requests_.find(order_.front());
    if (first != requests_.end()) {
      if (!is_expired(first->second.back().lost_at))
        return;
      candidates_.erase(first->first);
      requests_.erase(first);
    }
    order_.pop_front();
  }
}

void CrashLedger::EnsureCapacity() {
  if (order_.size() >= 2 * kMaxRequests) {
    std::erase_if(order_, [this](std::uint64_t fingerprint) {
      return !requests_.contains(fingerprint);
    });
  }
  std::size_t kept = 0;
  while (requests_.size() >= kMaxRequests && kept < order_.size()) {
    const std::uint64_t fingerprint = order_.front();
    order_.pop_front();
    const auto first = requests_.find(fingerprint);
    if (first == requests_.end())
      continue;
    if (first->second.size() == 1) {
      requests_.erase(first);
    } else {
      order_.push_back(fingerprint);
      ++kept;
    }
  }
}

}  // namespace pollenrudder
