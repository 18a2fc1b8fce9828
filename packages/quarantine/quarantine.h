// Quarantine of request fingerprints that may crash upstreams.

#ifndef POLLENRUDDER_QUARANTINE_QUARANTINE_H_
#define POLLENRUDDER_QUARANTINE_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/boot_clock.h"

namespace pollenrudder {

// Holds the marks of the fingerprints of all services at one instance:
//   - A fingerprint that was in flight on an upstream that crashed becomes
//     suspect. Suspect requests run in isolation.
//   - A crash in isolation quarantines the fingerprint; a response clears a
//     suspect.
//   - Marks expire after `lifetime`. After the end of its quarantine, a
//     fingerprint is suspect for another lifetime. A response in this time
//     shows that the quarantine was false, or that its cause was removed, and
//     counts as a false quarantine.
//
// Related: RequestFingerprint, Admission.
class Quarantine {
 public:
  enum class Mark { kNone, kSuspect, kQuarantined };

  struct Options {
    std::chrono::nanoseconds lifetime = std::chrono::minutes(10);
    // Suspects beyond this number are counted, but not marked. A quarantined
    // fingerprint replaces the suspect that expires first.
    std::size_t max_marks = 16384;
  };

  explicit Quarantine(const Options& options);

  // Returns the current mark of a request. Requests with kQuarantined are
  // refused.
  Mark Check(std::string_view service,
             std::uint64_t fingerprint,
             BootTime now) const;

  // Records that a request with this fingerprint was in flight on an upstream
  // that crashed; `isolated` means that it ran in isolation. Returns the
  // resulting mark: kQuarantined for a suspect that ran in isolation, otherwise
  // kSuspect unless it is quarantined already. A suspect that was in flight
  // together with other requests, since it was sent before the mark arrived,
  // stays suspect: the crash does not identify it as the cause.
  Mark RecordCrash(std::string_view service,
                   std::uint64_t fingerprint,
                   bool isolated,
                   BootTime now);
  // Records a response to a request with this fingerprint. Returns true if it
  // cleared a suspect.
  bool RecordResponse(std::string_view service,
                      std::uint64_t fingerprint,
                      BootTime now);

  // Apply marks that were read from the log.
  void MarkSuspect(std::string_view service,
                   std::uint64_t fingerprint,
                   BootTime now);
  void MarkQuarantined(std::string_view service,
                       std::uint64_t fingerprint,
                       BootTime now);

  // Returns when the quarantine of the fingerprint ends, or nothing if it is
  // not quarantined.
  std::optional<BootTime> QuarantinedUntil(std::string_view service,
                                           std::uint64_t fingerprint,
                                           BootTime now) const;

  // Removes expired marks.
  void RemoveExpired(BootTime now);

  // The number of stored marks, including expired ones that are not removed
  // yet.
  std::size_t size() const { return entries_.size(); }
  std::uint64_t cleared_suspects() const { return cleared_suspects_; }
  std::uint64_t false_quarantines() const { return false_quarantines_; }
  std::uint64_t marks_refused() const { return marks_refused_; }

 private:
  struct Entry {
    Mark mark = Mark::kSuspect;
    BootTime expires_at;
    // The fingerprint was quarantined before it became suspect.
    bool after_quarantine = false;
  };

  static std::uint64_t HashOf(std::string_view service,
                              std::uint64_t fingerprint);
  // Returns the state of `entry` at `now`: an expired quarantine has become a
  // suspicion.
  Entry StateAt(const Entry& entry, BootTime now) const;
  // Makes room for one more entry if necessary. Returns false if the limit
  // leaves none.
  bool EnsureCapacity(bool for_quarantine, BootTime now);

  const Options options_;
  // By hash of service and fingerprint. Invariant: no more than max_marks
  // entries.
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::uint64_t cleared_suspects_ = 0;
  std::uint64_t false_quarantines_ = 0;
  std::uint64_t marks_refused_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_QUARANTINE_QUARANTINE_H_
