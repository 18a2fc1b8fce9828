// UpdateRelay: a short history for sending, and a silence timer for receiving.

#include "entry/update_relay.h"

namespace pollenrudder {
namespace {

// News may be late by this much before the instance reads by itself; together
// with the interval it stays well within the time for leaving upstreams.
constexpr std::chrono::milliseconds kLateness{350};

}  // namespace

UpdateRelay::UpdateRelay(boost::asio::io_context& io,
                         std::chrono::nanoseconds interval,
                         Observer& observer)
    : patience_(interval + kLateness),
      observer_(observer),
      silence_timer_(io) {}

void UpdateRelay::OnListRead(std::uint64_t from,
                             std::uint64_t to,
                             const std::vector<FleetChange>& changes) {
  if (!readings_.empty() && readings_.back().to != from)
    readings_.clear();
  readings_.push_back({from, to, changes});
  if (readings_.size() > kReadingsKept)
    readings_.pop_front();
}

RelayedUpdate UpdateRelay::MakeUpdate(std::uint64_t configuration_version,
                                      std::uint64_t grant_log_offset) const {
  RelayedUpdate news;
  news.configuration_version = configuration_version;
  news.grant_log_offset = grant_log_offset;
  if (readings_.empty())
    return news;
  news.list_from = readings_.front().from;
  news.list_to = readings_.back().to;
  for (const Reading& reading : readings_) {
    news.changes.insert(news.changes.end(), reading.changes.begin(),
                        reading.changes.end());
  }
  return news;
}

void UpdateRelay::OnRelayedUpdate(const RelayedUpdate& news,
                                  std::uint64_t own_plan_version) {
  if (feeds_ == nullptr)
    return;
  const std::uint64_t position = feeds_->list_position();
  if (position < news.list_from) {
    feeds_->ReadListNow();
  } else if (position < news.list_to) {
    observer_.OnRelayedChanges(news.changes);
    feeds_->AdvanceListPosition(news.list_to);
  }
  if (news.configuration_version > own_plan_version)
    observer_.OnNewerConfiguration(news);
  WatchForSilence();
  if (relayed_)
    return;
  relayed_ = true;
  feeds_->SetRelayActive(true);
  observer_.OnRelayChanged(true);
}

void UpdateRelay::StopReceiving() {
  silence_timer_.cancel();
  if (!relayed_)
    return;
  relayed_ = false;
  feeds_->SetRelayActive(false);
  observer_.OnRelayChanged(false);
}

void UpdateRelay::WatchForSilence() {
  silence_timer_.expires_after(patience_);
  silence_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      StopReceiving();
  });
}

}  // namespace pollenrudder
