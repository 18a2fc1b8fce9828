// Relays list changes from the grant leader, so that the other instances need
// not read the store.

#ifndef POLLENRUDDER_ENTRY_UPDATE_RELAY_H_
#define POLLENRUDDER_ENTRY_UPDATE_RELAY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/boot_clock.h"
#include "entry/relayed_update.h"
#include "fleet/feed_control.h"
#include "fleet/fleet_change.h"

namespace pollenrudder {

// Implements both sides. The sender (the leader) adds the changes of its last
// reads of the instance list to each update. The receiver applies these
// changes, or reads the list itself if the update begins after its own list
// position; such an update does not keep the relay active. While the relay is
// active, the readers of the receiver pause; it stops when no update arrives
// within a timeout.
class UpdateRelay {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnRelayedChanges(const std::vector<FleetChange>& changes) = 0;
    // A configuration exists that is newer than that of this instance.
    virtual void OnNewerConfiguration(const RelayedUpdate& update) = 0;
    // No update has arrived for a while. The relay stops soon after this unless
    // one does.
    virtual void OnUpdateLate() = 0;
    // The relay started or stopped.
    virtual void OnRelayChanged(bool active) = 0;
  };

  // Updates are sent after each read of the instance list, every `interval`.
  // `io` and `observer` must outlive the relay.
  UpdateRelay(boost::asio::io_context& io,
              std::chrono::nanoseconds interval,
              Observer& observer);

  void SetFeeds(FeedControl& feeds) { feeds_ = &feeds; }

  // Sender: the instance list was read from position `from` to `to`. `changes`
  // are those that matter for routing.
  void OnListRead(std::uint64_t from,
                  std::uint64_t to,
                  const std::vector<FleetChange>& changes);
  RelayedUpdate MakeUpdate(std::uint64_t configuration_version,
                           std::uint64_t grant_log_offset) const;
  // Whether the list was read so recently that an update may be sent without
  // another read. Receivers take an update as a sign that its sender reaches
  // the store, and do not read the store themselves.
  bool HasCurrentRead(BootTime now) const;

  // Receiver. The next update may take `extra_time` longer than usual.
  void OnRelayedUpdate(const RelayedUpdate& update,
                       std::uint64_t own_configuration_version,
                       std::chrono::nanoseconds extra_time);
  bool IsRelayActive() const { return relay_active_; }
  // Lets this instance read the store again, for example because it has become
  // the leader.
  void StopReceiving();

 private:
  // Maximum number of reads whose changes an update contains.
  static constexpr std::size_t kKeptReads = 4;

  struct Read {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<FleetChange> changes;
    // When the list was read.
    BootTime time{};
  };

  void RestartTimeout(std::chrono::nanoseconds extra_time);

  const std::chrono::nanoseconds update_timeout_;
  Observer& observer_;
  FeedControl* feeds_ = nullptr;
  // Invariant: each read begins at the position where the previous one ended.
  std::deque<Read> reads_;
  // When the last of them ended.
  BootTime last_read_{};
  boost::asio::steady_timer timeout_timer_;
  bool relay_active_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPDATE_RELAY_H_
