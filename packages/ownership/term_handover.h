// Transfers of terms to other instances, and retirement of upstreams.

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

// Drains an upstream, ends its lease, and then appends the record that hands
// over or retires the term. There are four causes:
//   - kLeave: this instance is leaving or in a planned stop;
//   - kReturn: this instance is not in the availability zone of the upstream,
//     and an instance of that zone has been listed long enough;
//   - kBalance: this instance leads more upstreams of its zone than another
//     instance;
//   - kRetire: the upstream is gone and owns no shard, so its term is retired.
// A handover whose outcome stays unknown is abandoned. This instance serves the
// upstream again only after the `abandon` record was read without the handover
// before it.
//
// Use: Controller calls the On...() functions with its inputs. Other parts must
// not change the shards of an upstream while InProgress() returns true.
//
// Related classes: LeaseManager ends the lease, MoveManager moves the shards of
// upstreams.
class TermHandover {
 public:
  // An instance gets terms for kBalance or kReturn only after it was listed for
  // this long, so that an instance that restarts repeatedly gets none.
  static constexpr std::chrono::seconds kMinListedTime{10};
  // Minimum time between two handovers for kBalance. The instance list and the
  // log need this time to show the result of the previous one.
  static constexpr std::chrono::seconds kBalanceInterval{5};
  // Difference in the number of led upstreams at which one is handed over. With
  // 1, two instances would hand an odd upstream back and forth.
  static constexpr std::size_t kBalanceDifference = 2;
  // An upstream that is missing from the instance list for this long is
  // retired.
  static constexpr std::chrono::seconds kRetireAfter{60};
  // A handover whose outcome is unknown for this long is abandoned.
  static constexpr std::chrono::milliseconds kAbandonAfter{2000};
  // A handover that is not urgent is canceled if its drain takes this long,
  // because requests for the upstream wait during the drain. It is tried again
  // after kRetryInterval.
  static constexpr std::chrono::milliseconds kDrainTimeout{1000};
  static constexpr std::chrono::seconds kRetryInterval{60};

  TermHandover(ControlContext& context,
               LeaseManager& leases,
               MoveManager& moves);

  // Call this after records were applied and leases were updated.
  void OnTableChanged();
  void OnDrainFinished(const DrainFinished& finished);
  void OnTick();

  // Whether a handover or retirement of the upstream has started and its
  // outcome is not read yet.
  bool InProgress(const std::string& upstream) const;

  // Whether this instance has handed over all terms, except those of upstreams
  // that are drained and have no other instance to hand over to.
  bool AllTermsHandedOver() const;

 private:
  enum class Cause { kLeave, kReturn, kBalance, kRetire };

  struct PendingHandover {
    Cause cause = Cause::kLeave;
    // The leadership that is handed over or retired.
    LogOffset leader_fence = kNoOffset;
    std::uint64_t drain_id = 0;
    BootTime started_at;
    bool drained = false;
    std::string record;
    BootTime sent_at;
    std::string abandon;
  };

  std::optional<Cause> DetermineCause(const std::string& upstream) const;
  void Start(const std::string& upstream, Cause cause);
  // Returns false if the handover is canceled.
  bool Advance(const std::string& upstream, PendingHandover& pending);
  void Send(const std::string& upstream, PendingHandover& pending);
  void Abandon(const std::string& upstream, PendingHandover& pending);
  // Returns false if the handover is finished or canceled.
  bool CheckOutcome(const std::string& upstream,
                    const PendingHandover& pending);
  void Cancel(const std::string& upstream);

  // The instance to hand the upstream over to; null if there is none.
  const ListedInstance* ChooseTarget(const std::string& upstream,
                                     Cause cause) const;
  const ListedInstance* FindLeastLoaded(
      const std::string& service,
      const std::string& zone,
      std::chrono::nanoseconds listed_for) const;
  // Number of terms that the instance leads or that are being handed over to
  // it.
  std::size_t CountTermsOf(const std::string& instance) const;
  bool ShouldBalance(const std::string& upstream) const;

  ControlContext& context_;
  LeaseManager& leases_;
  MoveManager& moves_;
  std::map<std::string, PendingHandover> pending_;
  // By upstream: the instance that it is being handed over to.
  std::map<std::string, std::string> targets_;
  std::optional<BootTime> last_balance_at_;
  // By upstream: the earliest time to retry a handover that is not urgent.
  std::map<std::string, BootTime> retry_at_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TERM_HANDOVER_H_
