// Finds the requests that crash upstreams among those that were in flight at
// crashes.

#ifndef POLLENRUDDER_QUARANTINE_CRASH_LEDGER_H_
#define POLLENRUDDER_QUARANTINE_CRASH_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/boot_clock.h"
#include "quarantine/crash_report.h"

namespace pollenrudder {

// Collects the reports of all instances. A request is the cause of crashes if
//   - kCrashesOfCause upstreams crashed under it one after the other: it was
//     sent to each after the crash of the one before. Requests in flight on
//     many upstreams of a lost rack were sent to all of them before;
//   - no response to it arrived in between;
//   - no other request explains these crashes better. Of the requests in flight
//     at a crash, the one under which most upstreams crashed is to blame, so
//     that those that shared its upstreams are not.
//
//   ledger.RecordCrash(report, now);
//   for (const std::uint64_t fingerprint : ledger.TakeCauses(now)) ...
class CrashLedger {
 public:
  static constexpr std::size_t kCrashesOfCause = 3;
  // From this many crashes in sequence on, the request that explains most of
  // them is a suspect.
  static constexpr std::size_t kCrashesOfSuspect = 2;
  // Of requests under which equally many upstreams crashed, none is identified
  // before there are this many crashes.
  static constexpr std::size_t kCrashesOfTiedCauses = 5;
  // A cause is named only this long after its last crash: until then, other
  // instances report what else was in flight there.
  static constexpr std::chrono::milliseconds kSettleTime{250};
  // How long a crash counts.
  static constexpr std::chrono::minutes kCrashRetention{10};
  // Requests with one crash are forgotten, the first ones first, when there are
  // more. The mass loss of upstreams reports thousands at once.
  static constexpr std::size_t kMaxRequests = 4096;

  void RecordCrash(const CrashReport& report, BootTime now);
  // Records a response of an upstream that ran the request. Returns whether a
  // crash had been recorded for it.
  bool RecordResponse(std::uint64_t fingerprint);
  // Returns whether an upstream crashed under the request, and none has
  // responded to it since.
  bool Contains(std::uint64_t fingerprint) const {
    return requests_.contains(fingerprint);
  }

  // Returns whether the request, and no other, explains most crashes in
  // sequence, but not yet enough to be identified.
  bool IsSuspect(std::uint64_t fingerprint) const;

  // Returns the requests that are identified as causes, each once.
  std::vector<std::uint64_t> TakeCauses(BootTime now);
  // Returns when TakeCauses() may return more; nothing if that takes further
  // reports.
  std::optional<BootTime> NextDecision() const;
  // Treats the request as identified, for example by another instance. The
  // crashes under it count for no other request.
  void SetCause(std::uint64_t fingerprint, BootTime now);

  // The number of requests for which crashes are recorded.
  std::size_t size() const { return requests_.size(); }

 private:
  // By name and start time of the incarnation.
  using CrashKey = std::pair<std::string, std::chrono::milliseconds>;
  struct Crash {
    CrashKey upstream;
    BootTime sent_at{};
    BootTime lost_at{};
  };
  // The crashes under one request, ordered by `lost_at`, each upstream once.
  using Crashes = std::vector<Crash>;

  // The crashes one after the other that no identified cause explains: their
  // number, and when the number reached kCrashesOfCause.
  struct Sequence {
    std::size_t length = 0;
    BootTime decisive{};
  };
  // The requests with the longest sequence, and from when on they count as
  // causes.
  struct Verdict {
    std::vector<std::uint64_t> fingerprints;
    BootTime valid_from{};
  };

  Sequence SequenceOf(const Crashes& crashes) const;
  Verdict FindVerdict() const;
  void RemoveExpired(BootTime now);
  // Makes room for one more request.
  void EnsureCapacity();

  std::unordered_map<std::uint64_t, Crashes> requests_;
  // In the order of their first crash. Some are no longer in `requests_`.
  std::deque<std::uint64_t> order_;
  // Requests with kCrashesOfSuspect crashes or more.
  std::unordered_set<std::uint64_t> candidates_;
  // Identified causes, and when that was.
  std::unordered_map<std::uint64_t, BootTime> causes_;
  // The crashes under them, and when they were attributed.
  std::map<CrashKey, BootTime> explained_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_QUARANTINE_CRASH_LEDGER_H_
