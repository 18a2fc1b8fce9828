// GrantDriver: timers, log calls and calls to upstreams.

#include "entry/grant_driver.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// A dead holder's turn passes on after the time-to-live of the turn; it must
// not pass because one join was late, so several fit into it.
constexpr milliseconds kJoinInterval{800};
constexpr milliseconds kRetryPause{300};
// The holder's readings of the log prove its term, and the owner of the turn
// watches whether the holder lives. The others hear of changes from the holder,
// and read the log only when they miss some: store calls are billed.
constexpr milliseconds kWatchPause{700};
constexpr milliseconds kFollowerPause{1000};
constexpr std::chrono::seconds kRelayedPause{10};
// So many reports without load are left out between two that are sent to stay
// among the receivers of news.
constexpr int kEmptyReportsLeftOut = 2;
constexpr milliseconds kHolderPoll{40};
constexpr milliseconds kFollowerPoll{250};
// The base interval of load reports, for up to kReportersAtBase instances; it
// grows with their number, so that the holder's work does not.
constexpr milliseconds kLoadInterval{150};
constexpr std::uint32_t kReportersAtBase = 16;
// An instance with this many times the processor time of the holder gets the
// duty: the holder's work grows with the number of instances and keys. Both
// must have been there for a while, since each change pauses the changes of
// keys.
constexpr double kFarStronger = 2;
constexpr std::chrono::seconds kPassOnPause{2};
// The strongest instance did not take over when the duty was passed to it.
constexpr std::chrono::seconds kPassOnPauseAfterFailure{30};
constexpr milliseconds kSuccessorPoll{150};

std::vector<GrantCoordinator::LogEntry> ToRecords(
    const GrantLog::Batch& batch) {
  std::vector<GrantCoordinator::LogEntry> records;
  records.reserve(batch.entries.size());
  for (const GrantLog::Entry& entry : batch.entries)
    records.push_back({entry.offset, entry.record});
  return records;
}

std::string_view Name(KeyCallResult result) {
  switch (result) {
    case KeyCallResult::kDone:
      return "done";
    case KeyCallResult::kFenced:
      return "fenced";
    case KeyCallResult::kReplaced:
      return "replaced";
    case KeyCallResult::kRejected:
      return "rejected";
    case KeyCallResult::kUnreachable:
      return "unreachable";
    case KeyCallResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

GrantDriver::GrantDriver(boost::asio::io_context& io,
                         const GrantCoordinator::Options& options,
                         const LoadReport& self,
                         GrantLog& log,
                         const UpstreamProtocol& protocol,
                         Metrics& metrics,
                         Observer& observer)
    : io_(io),
      duty_(options),
      self_(self),
      times_(options.times),
      log_(log),
      protocol_(protocol),
      metrics_(metrics),
      observer_(observer),
      join_timer_(io),
      read_timer_(io),
      poll_timer_(io),
      load_timer_(io),
      successor_timer_(io) {}

GrantDriver::~GrantDriver() {
  for (auto& [name, channel] : channels_) {
    if (channel.link)
      channel.link->Abort();
  }
  for (auto& [id, link] : releases_)
    link->Abort();
}

void GrantDriver::Start(InstanceChannel& channel) {
  channel_ = &channel;
  Join();
  ReadNewest();
  SchedulePoll();
  SendLoad();
}

void GrantDriver::Stop() {
  if (stopping_)
    return;
  stopping_ = true;
  const InstanceTracker::Instance* successor =
      reporters_.WithMostCores(BootClock::now());
  duty_.Stop(successor == nullptr ? std::string() : successor->instance);
  join_timer_.cancel();
  Poll();
  if (!duty_.IsLeader())
    log_.Leave();
}

bool GrantDriver::OnLoadReport(const LoadReport& report,
                               const std::string& sender) {
  const BootTime now = BootClock::now();
  const bool is_new = reporters_.OnLoadReport(report, sender, now);
  duty_.OnLoadReport(report, now);
  return is_new;
}

void GrantDriver::OnTableUpdate(const TableUpdate& update) {
  if (!duty_.OnTableUpdate(update, BootClock::now()))
    ReadNow();
  OnChange();
  if (!update.term)
    return;
  // The new holder learns who is there, or this instance takes over.
  SendReport(self_);
  Poll();
}

void GrantDriver::SetRelayActive(bool relayed) {
  if (relayed == relayed_)
    return;
  relayed_ = relayed;
  if (!relayed)
    ReadNow();
}

void GrantDriver::OnLogEnd(std::uint64_t offset) {
  if (!duty_.IsLeader() && offset > duty_.next_offset())
    ReadNow();
}

void GrantDriver::SendToInstances(const RelayedUpdate& news) {
  if (duty_.IsLeader())
    channel_->Send(reporters_.Addresses(BootClock::now()), news);
}

void GrantDriver::ConsiderPassingOn() {
  const BootTime now = BootClock::now();
  if (!duty_.IsActive(now) || stopping_)
    return;
  const auto pause =
      duty_.ReplacesSuccessor() ? kPassOnPauseAfterFailure : kPassOnPause;
  if (now < holder_since_ + pause)
    return;
  const InstanceTracker::Instance* strongest = reporters_.WithMostCores(now);
  if (strongest == nullptr || strongest->cores < kFarStronger * self_.cores ||
      now < strongest->first_report + kPassOnPause)
    return;
  duty_.TransferLeadership(strongest->instance, now);
}

void GrantDriver::WatchForSuccessor() {
  successor_timer_.expires_after(kSuccessorPoll);
  successor_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !resignation_.term || !duty_.term() || !duty_.term()->resigned)
      return;
    // A datagram may have been lost.
    if (const auto address = reporters_.AddressOf(resignation_.term->successor))
      channel_->Send({*address}, resignation_);
    ReadNow();
    WatchForSuccessor();
  });
}

void GrantDriver::OnFleet(const Fleet& fleet, const RouterConfiguration& plan) {
  duty_.OnFleet(fleet, plan, BootClock::now());
  std::erase_if(channels_, [&](const auto& entry) {
    const Channel& channel = entry.second;
    if (fleet.Find(entry.first) != nullptr || channel.busy)
      return false;
    if (channel.link)
      channel.link->Abort();
    return true;
  });
  if (duty_.IsLeader())
    Poll();
}

void GrantDriver::Join() {
  if (stopping_)
    return;
  const BootTime sent_at = BootClock::now();
  log_.Join([this, sent_at](const Result<GrantLog::Membership>& turn) {
    if (stopping_)
      return;
    if (turn) {
      const bool was_owner = duty_.IsPreferredLeader();
      duty_.OnPreferredLeader(turn.value().is_preferred, sent_at,
                              BootClock::now());
      if (duty_.IsPreferredLeader() && !was_owner)
        ReadNow();
      if (turn.value().instances != instances_) {
        instances_ = turn.value().instances;
        observer_.OnInstanceCount(instances_);
      }
      ConsiderPassingOn();
      Poll();
    }
    join_timer_.expires_after(kJoinInterval);
    join_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        Join();
    });
  });
}

void GrantDriver::ReadNewest() {
  log_.ReadNewest([this](Result<GrantLog::Batch> batch) {
    if (batch) {
      duty_.OnNewestRecords(ToRecords(batch.value()), batch.value().end,
                            BootClock::now());
      OnChange();
      ScheduleRead();
      return;
    }
    read_timer_.expires_after(kRetryPause);
    read_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        ReadNewest();
    });
  });
}

void GrantDriver::ScheduleRead() {
  std::chrono::milliseconds pause = kFollowerPause;
  if (duty_.IsLeader() || duty_.IsPreferredLeader())
    pause = kWatchPause;
  else if (relayed_)
    pause = kRelayedPause;
  read_timer_.expires_after(pause);
  read_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      ReadNow();
  });
}

void GrantDriver::ReadNow() {
  if (reading_now_)
    return;
  reading_now_ = true;
  const BootTime sent_at = BootClock::now();
  const bool in_order =
      duty_.IsLeader() || duty_.IsPreferredLeader() || duty_.NeedsLog();
  const auto handle = [this, sent_at,
                       in_order](const Result<GrantLog::Batch>& batch) {
    reading_now_ = false;
    ScheduleRead();
    if (!batch)
      return;
    if (batch.value().truncated) {
      ReadNewest();
      return;
    }
    const BootTime now = BootClock::now();
    const auto records = ToRecords(batch.value());
    if (in_order)
      duty_.OnLogRecords(records, batch.value().end, sent_at, now);
    else
      duty_.OnNewestRecords(records, batch.value().end, now);
    OnChange();
    Poll();
  };
  // An instance that only routes needs the newest table, not all between.
  if (in_order)
    log_.Read(duty_.next_offset(), handle);
  else
    log_.ReadNewest(handle);
}

void GrantDriver::SchedulePoll() {
  poll_timer_.expires_after(duty_.IsLeader() ? kHolderPoll : kFollowerPoll);
  poll_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    Poll();
    SchedulePoll();
  });
}

void GrantDriver::Poll() {
  const BootTime now = BootClock::now();
  const GrantActions actions = duty_.Poll(now);
  if (actions.append) {
    log_.Append(*actions.append, [this, now](LogAppendResult result) {
      duty_.OnAppendEnded(result, now, BootClock::now());
      if (stopping_ && !duty_.IsLeader())
        log_.Leave();
      OnChange();
      Poll();
    });
  }
  for (const KeyCall& call : actions.calls)
    Start(call);
  if (duty_.NeedsLog())
    ReadNow();
  OnChange();
}

void GrantDriver::OnChange() {
  const BootTime now = BootClock::now();
  const bool holder = duty_.IsLeader();
  if (holder != was_holder_) {
    was_holder_ = holder;
    holder_since_ = now;
    if (!holder && duty_.term() && duty_.term()->resigned)
      WatchForSuccessor();
    if (holder) {
      SchedulePoll();
      ScheduleRead();
    }
    EventLog::Write(
        holder ? kGrantLeadershipStarted : kGrantLeadershipEnded,
        {{"term", duty_.term_offset()},
         {"instance",
          duty_.term() ? duty_.term()->instance : std::string("none")},
         {"changes_in_ms", holder ? std::chrono::duration_cast<milliseconds>(
                                        duty_.changes_allowed_from() - now)
                                        .count()
                                  : 0}});
  }
  const bool active = duty_.IsActive(now);
  if (was_active_ && !active && holder)
    EventLog::Write(kGrantLeadershipPaused, {{"term", duty_.term_offset()}});
  was_active_ = active;
  if (duty_.tables_version() != seen_version_) {
    seen_version_ = duty_.tables_version();
    EventLog::WriteLazily(kKeysChanged, [&] {
      std::vector<LogField> fields{{"log_end", duty_.next_offset()}};
      for (const auto& [service, table] : duty_.tables()) {
        fields.emplace_back("rows_" + service, table.rows().size());
        fields.emplace_back(
            "moving_" + service,
            std::ranges::count_if(table.rows(), &KeyAssignment::moving));
      }
      return fields;
    });
    observer_.OnKeysChanged(duty_);
  }
  const std::vector<TableUpdate> updates = duty_.TakeUpdates();
  if (updates.empty())
    return;
  const InstanceChannel::Addresses addresses = reporters_.Addresses(now);
  for (const TableUpdate& update : updates) {
    channel_->Send(addresses, update);
    if (update.term && update.term->resigned)
      resignation_ = update;
  }
}

void GrantDriver::SendLoad() {
  const auto factor = std::max(1U, instances_ / kReportersAtBase);
  load_timer_.expires_after(kLoadInterval * factor);
  load_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    SendLoad();
    LoadReport report = self_;
    report.services = observer_.TakeLoad();
    // Without news, the first report is what makes the holder send them.
    if (report.services.empty() && relayed_ &&
        ++empty_reports_ <= kEmptyReportsLeftOut)
      return;
    empty_reports_ = 0;
    if (duty_.IsLeader())
      duty_.OnLoadReport(report, BootClock::now());
    else
      SendReport(report);
  });
}

void GrantDriver::SendReport(const LoadReport& report) {
  if (!duty_.IsLeader() && duty_.term() && !duty_.term()->resigned)
    channel_->Send({duty_.term()->report_address}, report);
}

void GrantDriver::Start(const KeyCall& call) {
  if (call.kind == KeyCall::Kind::kRelease) {
    const auto link = HttpClient::Create(io_, EndpointOf(call.address));
    releases_[call.id] = link;
    Send(link, call, [this, id = call.id] { releases_.erase(id); });
    return;
  }
  Channel& channel = channels_[call.upstream.name];
  channel.waiting.push_back(call);
  SendNextGrant(call.upstream.name);
}

void GrantDriver::SendNextGrant(const std::string& upstream) {
  const auto at = channels_.find(upstream);
  if (at == channels_.end() || at->second.busy || at->second.waiting.empty())
    return;
  Channel& channel = at->second;
  const KeyCall call = std::move(channel.waiting.front());
  channel.waiting.pop_front();
  if (!channel.link || !channel.link->IsReusable() ||
      channel.address != call.address) {
    if (channel.link)
      channel.link->Abort();
    channel.link = HttpClient::Create(io_, EndpointOf(call.address));
    channel.address = call.address;
  }
  channel.busy = true;
  Send(channel.link, call, [this, upstream] {
    const auto known = channels_.find(upstream);
    if (known == channels_.end())
      return;
    known->second.busy = false;
    SendNextGrant(upstream);
  });
}

void GrantDriver::Send(const std::shared_ptr<HttpClient>& link,
                       const KeyCall& call,
                       const std::function<void()>& then) {
  HttpClient::CallOptions options;
  // A release is answered when the work that runs has ended.
  options.timeout = call.kind == KeyCall::Kind::kGrant ? times_.call_timeout
                                                       : times_.grant_ttl;
  options.connect_timeout = times_.call_timeout;
  options.reset_on_timeout = true;
  options.may_send = [valid_until = call.valid_until] {
    return BootClock::now() < valid_until;
  };
  link->Call(
      protocol_.FormatKeyCall(call), std::move(options),
      [this, call, then](HttpCallResult result, HttpResponse& response) {
        std::pair<KeyCallResult, std::string> answer{KeyCallResult::kUnknown,
                                                     ""};
        if (result == HttpCallResult::kAnswered)
          answer = protocol_.ParseKeyResponse(call, response);
        else if (result == HttpCallResult::kRefused ||
                 result == HttpCallResult::kNotConnected)
          answer.first = KeyCallResult::kUnreachable;
        const bool grant = call.kind == KeyCall::Kind::kGrant;
        metrics_.Count("key_calls_total",
                       std::string("kind=\"") + (grant ? "grant" : "release") +
                           "\",result=\"" + std::string(Name(answer.first)) +
                           '"');
        if (answer.first != KeyCallResult::kDone) {
          EventLog::WriteLazily(kKeyCallFailed, [&] {
            return std::vector<LogField>{{"kind", grant ? "grant" : "release"},
                                         {"result", Name(answer.first)},
                                         {"status", response.status},
                                         {"upstream", call.upstream.name},
                                         {"first", call.keys.first},
                                         {"last", call.keys.last},
                                         {"token", call.token}};
          });
        }
        duty_.OnCallEnded(call.id, answer.first, answer.second,
                          BootClock::now());
        then();
        Poll();
      });
}

}  // namespace pollenrudder
