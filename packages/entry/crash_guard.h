// Keeps requests that crash upstreams away from them.

#ifndef POLLENRUDDER_ENTRY_CRASH_GUARD_H_
#define POLLENRUDDER_ENTRY_CRASH_GUARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/boot_clock.h"
#include "base/metrics.h"
#include "dispatch/cold_rate_limiter.h"
#include "entry/crash_detector.h"
#include "fleet/listed_upstream.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine.h"

namespace pollenrudder {

// A request is recognized by its fingerprint. The instances share what was in
// flight at crashes; each identifies the causes by itself (CrashLedger), so
// that none depends on the leader, and tells the others. From then on all
// refuse the request until its quarantine ends. After that, the first crash
// under it starts the quarantine again.
//
// An instance that starts gets the quarantine with the relayed updates.
class CrashGuard {
 public:
  class Sender {
   public:
    virtual ~Sender() = default;
    // Sends to the instances that collect reports.
    virtual void SendCrashMessage(const CrashMessage& message) = 0;
    // Sends to all instances that this one reaches.
    virtual void SendQuarantine(const QuarantineMessage& message) = 0;
  };

  // Quarantined requests that are known at a time, at most.
  static constexpr std::size_t kMaxQuarantined = 512;

  // The arguments must outlive the guard.
  CrashGuard(boost::asio::io_context& io, Metrics& metrics, Sender& sender);

  // Returns whether there is any request that the functions below know. If not,
  // fingerprints need not be computed.
  bool IsEmpty() const {
    return quarantined_.empty() && ledger_.size() == 0 &&
           quarantine_.size() == 0;
  }
  // Returns for how much longer the request is refused; nothing if it is not.
  std::optional<std::chrono::nanoseconds> QuarantineLeft(
      std::uint64_t fingerprint,
      BootTime now) const;
  // Returns for how long the request is held back, because it probably crashed
  // two upstreams; nothing if it may be sent now. The instances together send
  // about one a second, until a response clears it or a third crash identifies
  // it: more would run on the next upstream at the same time.
  std::optional<std::chrono::nanoseconds> HoldLeft(std::uint64_t fingerprint,
                                                   BootTime now);
  // The request is sent although it may crash the upstream.
  void OnSent(std::uint64_t fingerprint, BootTime now);
  // Returns whether an upstream has crashed under the request, and none has
  // responded to it since.
  bool IsSuspect(std::uint64_t fingerprint, BootTime now) const;

  // The connection of a request was lost before the response of `upstream` was
  // complete.
  void OnConnectionLost(const ListedUpstream& upstream,
                        CrashDetector::LostRequest request);
  // The instance list, or the number of instances, has changed.
  void OnFleet(const Fleet& fleet, std::uint32_t instances) {
    instances_ = instances;
    detector_.OnFleet(fleet);
  }
  // An upstream ran the request and responded.
  void OnResponse(std::uint64_t fingerprint, BootTime now);

  // Messages of other instances.
  void OnCrashMessage(const CrashMessage& message, BootTime now);
  void OnQuarantineMessage(const QuarantineMessage& message, BootTime now);
  // Returns the present quarantine.
  QuarantineMessage MakeQuarantineMessage(BootTime now) const;

 private:
  // What is sent several times, since datagrams may be lost.
  template <typename T>
  struct Repeated {
    T content;
    int sends_left = 0;
  };

  void OnCrash(const ListedUpstream& upstream,
               const CrashDetector::LostRequest& request);
  void RecordCrash(const CrashReport& report, BootTime now);
  // Returns whether the request was a suspect.
  bool RecordResponse(std::uint64_t fingerprint, BootTime now);
  // Starts a quarantine of `duration`, unless about the same one is known.
  // Returns whether it did.
  bool StartQuarantine(std::uint64_t fingerprint,
                       std::chrono::nanoseconds duration,
                       BootTime now);
  // Quarantines what the ledger identifies, now and when more time has passed.
  void Decide(BootTime now);
  void ScheduleReports();
  void SendReports();

  Metrics& metrics_;
  Sender& sender_;
  CrashDetector detector_;
  CrashLedger ledger_;
  // The marks do not depend on the service: a route may change its service.
  Quarantine quarantine_;
  // Fingerprints that are, or were until recently, in quarantine.
  std::vector<std::uint64_t> quarantined_;
  // The permits of suspects, by fingerprint.
  std::map<std::uint64_t, ColdRateLimiter> holds_;
  std::uint32_t instances_ = 1;
  std::mt19937_64 random_;
  std::vector<Repeated<CrashReport>> reports_;
  std::vector<Repeated<std::uint64_t>> answered_;
  boost::asio::steady_timer decision_timer_;
  boost::asio::steady_timer report_timer_;
  bool report_pending_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CRASH_GUARD_H_
