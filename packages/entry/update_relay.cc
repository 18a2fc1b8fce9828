// UpdateRelay: the recent reads for sending, and a timeout for receiving.

#include "entry/update_relay.h"

#include <algorithm>
#include <utility>

namespace pollenrudder {
namespace {

// An update may be late by this much before the instance reads the store
// itself. Together with the interval it stays well below the time within which
// leaving upstreams must stop receiving requests.
constexpr std::chrono::milliseconds kMaxLateness{350};
// The part of kMaxLateness in which another source of updates can respond.
constexpr std::chrono::milliseconds kResponseTime{150};

}  // namespace

UpdateRelay::UpdateRelay(boost::asio::io_context& io,
                         std::chrono::nanoseconds interval,
                         Observer& observer)
    : update_timeout_(interval + kMaxLateness),
      observer_(observer),
      timeout_timer_(io) {}

void UpdateRelay::OnListRead(std::uint64_t from,
                             std::uint64_t to,
                             const std::vector<FleetChange>& changes) {
  if (!reads_.empty() && reads_.back().to != from)
    reads_.clear();
  last_read_ = BootClock::now();
  reads_.push_back({from, to, changes, last_read_});
  if (reads_.size() > kKeptReads)
    reads_.pop_front();
}

bool UpdateRelay::HasCurrentRead(BootTime now) const {
  return now < last_read_ + update_timeout_;
}

RelayedUpdate UpdateRelay::MakeUpdate(std::uint64_t configuration_version,
                                      std::uint64_t grant_log_offset) const {
  RelayedUpdate update;
  update.configuration_version = configuration_version;
  update.grant_log_offset = grant_log_offset;
  if (reads_.empty())
    return update;
  update.list_from = reads_.front().from;
  update.list_to = reads_.back().to;
  const BootTime now = BootClock::now();
  update.list_age = now - last_read_;
  for (const Read& read : reads_) {
    for (FleetChange change : read.changes) {
      // The receivers count the time from the arrival of the update.
      if (change.entry) {
        change.entry->cold_remaining = std::max<std::chrono::nanoseconds>(
            change.entry->cold_remaining - (now - read.time), {});
      }
      update.changes.push_back(std::move(change));
    }
  }
  return update;
}

void UpdateRelay::OnRelayedUpdate(const RelayedUpdate& update,
                                  std::uint64_t own_configuration_version,
                                  std::chrono::nanoseconds extra_time) {
  if (feeds_ == nullptr)
    return;
  const std::uint64_t position = feeds_->list_position();
  const bool is_complete = position >= update.list_from;
  if (!is_complete) {
    feeds_->ReadListNow();
  } else if (position < update.list_to) {
    observer_.OnRelayedChanges(update.changes);
    feeds_->AdvanceListPosition(update.list_to);
  }
  if (update.configuration_version > own_configuration_version)
    observer_.OnNewerConfiguration(update);
  // Updates do not replace reads of the list before one of these has provided
  // the changes that the update lacks.
  if (!is_complete)
    return;
  // The next read of the list is due an interval after the last one.
  RestartTimeout(extra_time -
                 update.list_age.value_or(std::chrono::nanoseconds(0)));
  if (relay_active_)
    return;
  relay_active_ = true;
  feeds_->SetRelayActive(true);
  observer_.OnRelayChanged(true);
}

void UpdateRelay::StopReceiving() {
  timeout_timer_.cancel();
  if (!relay_active_)
    return;
  relay_active_ = false;
  feeds_->SetRelayActive(false);
  observer_.OnRelayChanged(false);
}

void UpdateRelay::RestartTimeout(std::chrono::nanoseconds extra_time) {
  timeout_timer_.expires_after(
      std::max(update_timeout_ + extra_time - kResponseTime,
               std::chrono::nanoseconds(0)));
  timeout_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    observer_.OnUpdateLate();
    timeout_timer_.expires_after(kResponseTime);
    timeout_timer_.async_wait([this](boost::system::error_code late_error) {
      if (!late_error)
        StopReceiving();
    });
  });
}

}  // namespace pollenrudder
