// Transitions between the marks of a fingerprint, and their expiry.

#include "quarantine/quarantine.h"

#include <algorithm>
#include <cassert>

#include <xxhash.h>

namespace pollenrudder {

Quarantine::Quarantine(const Options& options) : options_(options) {
  assert(options.max_marks > 0);
}

std::uint64_t Quarantine::HashOf(std::string_view service,
                                 std::uint64_t fingerprint) {
  return XXH3_64bits_withSeed(service.data(), service.size(), fingerprint);
}

Quarantine::Entry Quarantine::StateAt(const Entry& entry, BootTime now) const {
  if (now < entry.expires_at)
    return entry;
  if (entry.mark == Mark::kQuarantined &&
      now < entry.expires_at + options_.lifetime) {
    return {Mark::kSuspect, entry.expires_at + options_.lifetime, true};
  }
  return {Mark::kNone, entry.expires_at, false};
}

Quarantine::Mark Quarantine::Check(std::string_view service,
                                   std::uint64_t fingerprint,
                                   BootTime now) const {
  if (entries_.empty())
    return Mark::kNone;
  const auto found = entries_.find(HashOf(service, fingerprint));
  return found == entries_.end() ? Mark::kNone
                                 : StateAt(found->second, now).mark;
}

bool Quarantine::EnsureCapacity(bool for_quarantine, BootTime now) {
  if (entries_.size() < options_.max_marks)
    return true;
  RemoveExpired(now);
  if (entries_.size() < options_.max_marks)
    return true;
  if (!for_quarantine)
    return false;
  auto first = entries_.end();
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    if (entry->second.mark == Mark::kSuspect &&
        (first == entries_.end() ||
         entry->second.expires_at < first->second.expires_at))
      first = entry;
  }
  if (first == entries_.end())
    return false;
  entries_.erase(first);
  return true;
}

void Quarantine::MarkSuspect(std::string_view service,
                             std::uint64_t fingerprint,
                             BootTime now) {
  const std::uint64_t hash = HashOf(service, fingerprint);
  const auto found = entries_.find(hash);
  if (found == entries_.end()) {
    if (!EnsureCapacity(false, now)) {
      ++marks_refused_;
      return;
    }
    entries_.emplace(hash, Entry{Mark::kSuspect, now + options_.lifetime});
    return;
  }
  const Entry state = StateAt(found->second, now);
  if (state.mark == Mark::kQuarantined)
    return;
  found->second = {Mark::kSuspect, now + options_.lifetime,
                   state.after_quarantine};
}

void Quarantine::MarkQuarantined(std::string_view service,
                                 std::uint64_t fingerprint,
                                 BootTime now) {
  const std::uint64_t hash = HashOf(service, fingerprint);
  if (!entries_.contains(hash) && !EnsureCapacity(true, now)) {
    ++marks_refused_;
    return;
  }
  entries_[hash] = {Mark::kQuarantined, now + options_.lifetime, false};
}

Quarantine::Mark Quarantine::RecordCrash(std::string_view service,
                                         std::uint64_t fingerprint,
                                         bool isolated,
                                         BootTime now) {
  const Mark before = Check(service, fingerprint, now);
  if (before == Mark::kQuarantined || (before == Mark::kSuspect && isolated))
    MarkQuarantined(service, fingerprint, now);
  else
    MarkSuspect(service, fingerprint, now);
  return Check(service, fingerprint, now);
}

bool Quarantine::RecordResponse(std::string_view service,
                                std::uint64_t fingerprint,
                                BootTime now) {
  if (entries_.empty())
    return false;
  const auto found = entries_.find(HashOf(service, fingerprint));
  if (found == entries_.end())
    return false;
  const Entry state = StateAt(found->second, now);
  // A request that was sent before its quarantine can still be answered; the
  // response does not lift the quarantine.
  if (state.mark != Mark::kSuspect)
    return false;
  ++cleared_suspects_;
  if (state.after_quarantine)
    ++false_quarantines_;
  entries_.erase(found);
  return true;
}

std::optional<BootTime> Quarantine::QuarantinedUntil(std::string_view service,
                                                     std::uint64_t fingerprint,
                                                     BootTime now) const {
  const auto found = entries_.find(HashOf(service, fingerprint));
  if (found == entries_.end() ||
      StateAt(found->second, now).mark != Mark::kQuarantined)
    return std::nullopt;
  return found->second.expires_at;
}

void Quarantine::RemoveExpired(BootTime now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return StateAt(entry.second, now).mark == Mark::kNone;
  });
}

}  // namespace pollenrudder
