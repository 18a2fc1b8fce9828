// TermHandover: gives terms to other instances, and retires upstreams.

#ifndef POLLENRUDDER_OWNERSHIP_TERM_HANDOVER_H_
#define POLLENRUDDER_OWNERSHIP_TERM_HANDOVER_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/boot_clock.h"
#include "ownership/control_context.h"
#include "ownership/controller_input.h"
#include "ownership/lease_manager.h"
#include "ownership/move_manager.h"

namespace pollenrudder {

// Drains an upstream, ends its lease, and then appends the record that gives
// the term away. There are four causes:
//   - this instance leaves or is in a planned stop;
//   - this instance is not in the upstream's zone, and one that is has been
//     listed long enough;
//   - this instance leads more upstreams of its zone than another one does;
//   - the upstream is gone and owns no shard, so that its term is retired.
// If the outcome stays unknown, the record is abandoned; this instance serves
// again only after the abandon was read without the record before it.
class TermHandover {
 public:
  // An instance gets terms for balance or return only after it was listed for
  // so long, so that an instance that restarts repeatedly gets none.
  static constexpr std::chrono::seconds kMinListedTime{10};
  // Handovers for balance follow each other at this interval, which the lists
  // and the log need to show the result of the last one.
  static constexpr std::chrono::seconds kBalanceInterval{5};
  // Difference in led upstreams at which one is handed over. With 1, two
  // instances would pass the odd upstream back and forth.
  static constexpr std::size_t kBalanceDifference = 2;
  // An upstream that the list has left out for so long is retired.
  static constexpr std::chrono::seconds kRetireAfter{60};
  static constexpr std::chrono::milliseconds kAbandonAfter{2000};
  // A handover that is not urgent is given up if its drain takes so long,
  // because requests for the upstream wait meanwhile. It is tried again after
  // kRetryInterval.
  static constexpr std::chrono::milliseconds kDrainTimeout{1000};
  static constexpr std::chrono::seconds kRetryInterval{60};

  TermHandover(ControlContext& context,
               LeaseManager& leases,
               MoveManager& moves);

  // After records were applied and leases were updated.
  void OnTableChanged();
  void OnDrainFinished(const DrainFinished& finished);
  void OnTick();

  // Whether the upstream is drained for a handover or a retirement.
  bool InProgress(const std::string& upstream) const;

  // Whether this instance leads nothing any more that somebody else can take.
  bool AllTermsHandedOver() const;

 private:
  enum class Cause { kLeave, kReturn, kBalance, kRetire };

  struct Pending {
    Cause cause = Cause::kLeave;
    // The leadership that is given away.
    LogOffset leader_fence = kNoOffset;
    std::uint64_t drain_id = 0;
    BootTime started_at;
    bool drained = false;
    std::string record;
    BootTime sent_at;
    std::string abandon;
  };

  std::optional<Cause> FindCause(const std::string& upstream) const;
  void Start(const std::string& upstream, Cause cause);
  // Returns false if the handover is given up.
  bool Advance(const std::string& upstream, Pending& pending);
  void Send(const std::string& upstream, Pending& pending);
  void Abandon(const std::string& upstream, Pending& pending);
  // Returns false if the handover is finished or given up.
  bool Resolve(const std::string& upstream, const Pending& pending);
  void GiveUp(const std::string& upstream);

  // The instance that takes the upstream over; null if there is none.
  const ListedInstance* ChooseTarget(const std::string& upstream,
                                     Cause cause) const;
  const ListedInstance* LeastLoaded(const std::string& service,
                                    const std::string& zone,
                                    std::chrono::nanoseconds listed_for) const;
  // Number of terms that the instance has or is about to get.
  std::size_t TermsOf(const std::string& instance) const;
  bool IsUnbalanced(const std::string& upstream) const;

  ControlContext& context_;
  LeaseManager& leases_;
  MoveManager& moves_;
  std::map<std::string, Pending> pending_;
  // By upstream: who is about to get it.
  std::map<std::string, std::string> promised_;
  std::optional<BootTime> last_balance_;
  // By upstream: when a handover that is not urgent may be tried again.
  std::map<std::string, BootTime> retry_at_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_HANDOVER_H_
