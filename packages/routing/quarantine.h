// Marks on the fingerprints of requests that may crash upstreams.

#ifndef POLLENRUDDER_ROUTING_QUARANTINE_H_
#define POLLENRUDDER_ROUTING_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/boot_clock.h"

namespace pollenrudder {

// Holds the marks of all services at one instance. A fingerprint that was in
// flight at a crash is suspect and runs alone. A second crash quarantines it;
// an answer clears it. Marks end after `lifetime`. A fingerprint whose
// quarantine has ended is suspect for another lifetime; an answer then shows
// that the quarantine was false (or that its cause was removed), which is
// counted. Related: RequestFingerprint, Admission.
class Quarantine {
 public:
  enum class Mark { kNone, kSuspect, kQuarantined };

  struct Options {
    std::chrono::nanoseconds lifetime = std::chrono::minutes(10);
    // Suspects beyond this number are not marked, and counted. Quarantined
    // fingerprints take the place of the suspect that ends first.
    std::size_t max_marks = 16384;
  };

  explicit Quarantine(const Options& options);

  // The mark in force for a request. Requests with kQuarantined are refused.
  Mark Check(std::string_view service,
             std::uint64_t fingerprint,
             BootTime now) const;

  // A request with this fingerprint was in flight on an upstream that
  // crashed. `alone` tells that it ran alone. Returns the mark that follows:
  // kQuarantined for a suspect that ran alone, else kSuspect. A suspect that
  // crashed beside others (sent before the mark arrived) stays suspect, since
  // the crash does not single it out.
  Mark RecordCrash(std::string_view service,
                   std::uint64_t fingerprint,
                   bool alone,
                   BootTime now);
  // A request with this fingerprint was answered. Returns true if this cleared
  // a suspicion.
  bool RecordResponse(std::string_view service,
                      std::uint64_t fingerprint,
                      BootTime now);

  // Marks that were read from the log.
  void MarkSuspect(std::string_view service,
                   std::uint64_t fingerprint,
                   BootTime now);
  void MarkQuarantined(std::string_view service,
                       std::uint64_t fingerprint,
                       BootTime now);

  // Drops ended marks.
  void RemoveExpired(BootTime now);

  // Marks in force or kept after a quarantine.
  std::size_t size() const { return entries_.size(); }
  std::uint64_t cleared_suspects() const { return cleared_suspects_; }
  std::uint64_t false_quarantines() const { return false_quarantines_; }
  std::uint64_t marks_refused() const { return marks_refused_; }

 private:
  struct Entry {
    Mark mark = Mark::kSuspect;
    BootTime until;
    // The fingerprint was quarantined before the present suspicion.
    bool after_quarantine = false;
  };

  static std::uint64_t KeyOf(std::string_view service,
                             std::uint64_t fingerprint);
  // The state of `entry` at `now`: an ended quarantine is a suspicion.
  Entry At(const Entry& entry, BootTime now) const;
  // Ensures that there is room for one more entry.
  bool MakeRoom(bool for_quarantine, BootTime now);

  const Options options_;
  // By hash of service and fingerprint. Invariant: at most max_marks entries.
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::uint64_t cleared_suspects_ = 0;
  std::uint64_t false_quarantines_ = 0;
  std::uint64_t marks_refused_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_QUARANTINE_H_
