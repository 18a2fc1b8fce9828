// Quarantine.

#include "routing/quarantine.h"

#include <algorithm>
#include <cassert>

#include <xxhash.h>

namespace pollenrudder {

Quarantine::Quarantine(const Options& options) : options_(options) {
  assert(options.max_marks > 0);
}

std::uint64_t Quarantine::KeyOf(std::string_view service,
                                std::uint64_t fingerprint) {
  return XXH3_64bits_withSeed(service.data(), service.size(), fingerprint);
}

Quarantine::Entry Quarantine::At(const Entry& entry, BootTime now) const {
  if (now < entry.until)
    return entry;
  if (entry.mark == Mark::kQuarantined &&
      now < entry.until + options_.lifetime) {
    return {Mark::kSuspect, entry.until + options_.lifetime, true};
  }
  return {Mark::kNone, entry.until, false};
}

Quarantine::Mark Quarantine::Check(std::string_view service,
                                   std::uint64_t fingerprint,
                                   BootTime now) const {
  if (entries_.empty())
    return Mark::kNone;
  const auto found = entries_.find(KeyOf(service, fingerprint));
  return found == entries_.end() ? Mark::kNone : At(found->second, now).mark;
}

bool Quarantine::MakeRoom(bool for_quarantine, BootTime now) {
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
        (first == entries_.end() || entry->second.until < first->second.until))
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
  const std::uint64_t key = KeyOf(service, fingerprint);
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (!MakeRoom(false, now)) {
      ++marks_refused_;
      return;
    }
    entries_.emplace(key, Entry{Mark::kSuspect, now + options_.lifetime});
    return;
  }
  const Entry state = At(found->second, now);
  if (state.mark == Mark::kQuarantined)
    return;
  found->second = {Mark::kSuspect, now + options_.lifetime,
                   state.after_quarantine};
}

void Quarantine::MarkQuarantined(std::string_view service,
                                 std::uint64_t fingerprint,
                                 BootTime now) {
  const std::uint64_t key = KeyOf(service, fingerprint);
  if (!entries_.contains(key) && !MakeRoom(true, now)) {
    ++marks_refused_;
    return;
  }
  entries_[key] = {Mark::kQuarantined, now + options_.lifetime, false};
}

Quarantine::Mark Quarantine::RecordCrash(std::string_view service,
                                         std::uint64_t fingerprint,
                                         bool alone,
                                         BootTime now) {
  const Mark before = Check(service, fingerprint, now);
  if (before == Mark::kQuarantined || (before == Mark::kSuspect && alone))
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
  const auto found = entries_.find(KeyOf(service, fingerprint));
  if (found == entries_.end())
    return false;
  const Entry state = At(found->second, now);
  // A quarantined request can still be answered if it was sent before the
  // mark; the answer does not lift the quarantine.
  if (state.mark != Mark::kSuspect)
    return false;
  ++cleared_suspects_;
  if (state.after_quarantine)
    ++false_quarantines_;
  entries_.erase(found);
  return true;
}

void Quarantine::RemoveExpired(BootTime now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return At(entry.second, now).mark == Mark::kNone;
  });
}

}  // namespace pollenrudder
