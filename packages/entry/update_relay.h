// Keeps the readers of an instance at rest while another one relays its news.

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

// Both sides of the relay. The sender keeps the changes of its last readings;
// the receiver finds out whether news follow on what it knows, and notices when
// they stop.
class UpdateRelay {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void OnRelayedChanges(const std::vector<FleetChange>& changes) = 0;
    // There is a configuration that this instance does not have.
    virtual void OnNewerConfiguration(const RelayedUpdate& news) = 0;
    // Whether news arrive, which may have changed.
    virtual void OnRelayChanged(bool relayed) = 0;
  };

  // News are sent after each reading of the list, every `interval`. The
  // arguments must outlive the relay.
  UpdateRelay(boost::asio::io_context& io,
              std::chrono::nanoseconds interval,
              Observer& observer);

  void SetFeeds(FeedControl& feeds) { feeds_ = &feeds; }

  // Sender: the list was read from one position to another. `changes` are those
  // that matter for routing.
  void OnListRead(std::uint64_t from,
                  std::uint64_t to,
                  const std::vector<FleetChange>& changes);
  RelayedUpdate MakeUpdate(std::uint64_t configuration_version,
                           std::uint64_t grant_log_offset) const;

  // Receiver.
  void OnRelayedUpdate(const RelayedUpdate& news,
                       std::uint64_t own_plan_version);
  bool IsRelayActive() const { return relayed_; }
  // Reads by itself again, for example since it has become the sender.
  void StopReceiving();

 private:
  // Readings that news reach back.
  static constexpr std::size_t kReadingsKept = 4;

  struct Reading {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<FleetChange> changes;
  };

  void WatchForSilence();

  const std::chrono::nanoseconds patience_;
  Observer& observer_;
  FeedControl* feeds_ = nullptr;
  // Invariant: each reading begins where the one before it ended.
  std::deque<Reading> readings_;
  boost::asio::steady_timer silence_timer_;
  bool relayed_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_UPDATE_RELAY_H_
