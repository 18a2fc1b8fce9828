// GrantDriver: timers, log calls and calls to upstreams.
// grant_driver_reports.cc has the reports of and the updates for other
// instances.

#include "entry/grant_driver.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// If the preferred leader is lost, the store prefers another instance after the
// TTL of its membership. Several joins fit into that TTL, so that one late join
// does not change the preferred leader.
constexpr milliseconds kJoinInterval{800};
constexpr milliseconds kRetryDelay{300};
// The relays of the zones replace a lost leader within this time after the
// other instances have noticed the loss. If those joined the group meanwhile,
// the store would divide its partitions again, which delays the replacement,
// and might prefer an instance with few cores.
constexpr milliseconds kReplacementByRelaysTime{2500};
// The log reads of the leader confirm its term, and the preferred leader
// watches for the loss of the leader. The other instances receive changes from
// the leader and read the log only when they miss some, because calls to the
// store are billed.
constexpr milliseconds kLeaderReadInterval{700};
constexpr milliseconds kFollowerReadInterval{1000};
constexpr std::chrono::seconds kRelayedReadInterval{60};
// How long an instance waits for missed updates before it reads the log, which
// contains whole tables.
constexpr milliseconds kUpdateRequestTime{200};
constexpr milliseconds kLeaderPollInterval{40};
constexpr milliseconds kFollowerPollInterval{250};
// A poll looks at every row. With a thousand rows, a thousand calls end in a
// second, and a poll after each would take all of the leader's processor time.
constexpr std::chrono::microseconds kPollPausePerRow{8};
// An instance with this many times the cores of the leader becomes the leader,
// because the leader's work grows with the number of instances and keys. Both
// must have been up for kTransferDelay, since each change of leader suspends
// assignment changes.
constexpr double kTransferCoresRatio = 2;
constexpr std::chrono::seconds kTransferDelay{2};
// Used after a transfer whose successor did not take over.
constexpr std::chrono::seconds kTransferDelayAfterFailure{30};
constexpr milliseconds kSuccessorPollInterval{150};
// A response to a key call has a short body or none. Many faulty upstreams may
// send endless ones at once.
constexpr std::uint64_t kMaxKeyResponseBytes = 16 << 10;

std::vector<GrantCoordinator::LogEntry> ToLogEntries(
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
    case KeyCallResult::kWithheld:
      return "withheld";
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
      coordinator_(options),
      self_(self),
      address_(options.report_address),
      durations_(options.times),
      log_(log),
      protocol_(protocol),
      metrics_(metrics),
      observer_(observer),
      join_timer_(io),
      read_timer_(io),
      poll_timer_(io),
      poll_soon_timer_(io),
      load_timer_(io),
      successor_timer_(io),
      zone_relays_(self, options.report_address) {}

GrantDriver::~GrantDriver() {
  for (auto& [name, queue] : grant_queues_) {
    if (queue.client)
      queue.client->Abort();
  }
  for (auto& [id, client] : release_clients_)
    client->Abort();
}

void GrantDriver::Start(InstanceChannel& channel) {
  channel_ = &channel;
  Join();
  ReadNewest();
  SchedulePoll();
  ScheduleLoadReport();
}

void GrantDriver::Stop() {
  if (stopping_)
    return;
  stopping_ = true;
  const InstanceTracker::Instance* successor =
      instance_tracker_.WithMostCores(BootClock::now());
  coordinator_.Stop(successor == nullptr ? std::string() : successor->instance);
  join_timer_.cancel();
  Poll();
  if (!coordinator_.IsLeader())
    log_.Leave();
}

void GrantDriver::OnTableUpdate(const TableUpdate& update,
                                InstanceChannel::Hop hop) {
  const bool is_new = update.offset >= coordinator_.next_offset();
  const bool applied = coordinator_.OnTableUpdate(update, BootClock::now());
  // Without the updates before it, the others could not apply this one either:
  // they get what this instance reads from the log. A term is collected when it
  // is applied and sent with the next changes.
  if (hop == InstanceChannel::Hop::kDirect && is_new && applied &&
      !update.term && !coordinator_.IsLeader())
    SendUpdate(update);
  ReadLogIfNeeded();
  PublishChanges();
  if (!update.term)
    return;
  // Announces this instance to the new leader; Poll() takes over if this
  // instance is the successor.
  SendLoadReport(self_);
  Poll();
}

void GrantDriver::ReadLogIfNeeded() {
  if (!coordinator_.NeedsLog())
    return;
  const BootTime now = BootClock::now();
  if (now < updates_requested_until_)
    return;
  const std::string receiver = ReportReceiver();
  // The second time the relay did not have the updates.
  const bool was_requested =
      now < updates_requested_until_ + kUpdateRequestTime;
  if (!coordinator_.NeedsOnlyUpdates() || !relay_active_ || was_requested ||
      receiver.empty()) {
    ReadLog();
    return;
  }
  updates_requested_until_ = now + kUpdateRequestTime;
  channel_->RequestUpdates(receiver, coordinator_.next_offset());
}

void GrantDriver::SetRelayActive(bool active) {
  if (active == relay_active_)
    return;
  relay_active_ = active;
  if (active)
    return;
  relay_stopped_at_ = BootClock::now();
  update_sender_.clear();
  ReadLog();
}

void GrantDriver::OnStoreAvailable() {
  // The log may have been replaced; only the leader can continue in it at once.
  if (coordinator_.IsLeader())
    ReadLog();
}

void GrantDriver::OnLogEnd(std::uint64_t offset) {
  coordinator_.OnLastChange(offset);
  ReadLogIfNeeded();
}

void GrantDriver::ConsiderTransfer() {
  const BootTime now = BootClock::now();
  if (!coordinator_.IsActive(now) || stopping_)
    return;
  const auto delay = coordinator_.ReplacesSuccessor()
                         ? kTransferDelayAfterFailure
                         : kTransferDelay;
  if (now < leader_started_at_ + delay)
    return;
  const InstanceTracker::Instance* candidate =
      instance_tracker_.WithMostCores(now);
  if (candidate == nullptr ||
      candidate->cores < kTransferCoresRatio * self_.cores ||
      now < candidate->first_report + kTransferDelay)
    return;
  coordinator_.TransferLeadership(candidate->instance, now);
}

void GrantDriver::AwaitSuccessor() {
  successor_timer_.expires_after(kSuccessorPollInterval);
  successor_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !resignation_.term || !coordinator_.term() ||
        !coordinator_.term()->resigned)
      return;
    // The datagram with the resignation may have been lost.
    if (const auto address =
            instance_tracker_.AddressOf(resignation_.term->successor))
      channel_->Send({*address}, resignation_, InstanceChannel::Hop::kDirect);
    ReadLog();
    AwaitSuccessor();
  });
}

void GrantDriver::OnFleet(const Fleet& fleet,
                          const RouterConfiguration& configuration) {
  coordinator_.OnFleet(fleet, configuration, BootClock::now());
  std::erase_if(grant_queues_, [&](const auto& entry) {
    const GrantQueue& queue = entry.second;
    if (fleet.Find(entry.first) != nullptr || queue.in_progress)
      return false;
    if (queue.client)
      queue.client->Abort();
    return true;
  });
  if (coordinator_.IsLeader())
    Poll();
}

bool GrantDriver::LeavesMembershipToRelays() const {
  const bool has_relay =
      relay_active_ ||
      BootClock::now() < relay_stopped_at_ + kReplacementByRelaysTime;
  return has_relay && !zone_relays_.addresses().empty() && !IsZoneRelay() &&
         !coordinator_.IsLeader();
}

void GrantDriver::ScheduleJoin() {
  join_timer_.expires_after(kJoinInterval);
  join_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Join();
  });
}

void GrantDriver::Join() {
  if (stopping_)
    return;
  const BootTime sent_at = BootClock::now();
  if (LeavesMembershipToRelays()) {
    // The membership expires in the store.
    coordinator_.OnPreferredLeader(false, sent_at, sent_at);
    ScheduleJoin();
    return;
  }
  log_.Join([this, sent_at](const Result<GrantLog::Membership>& membership) {
    if (stopping_)
      return;
    if (membership) {
      const bool was_preferred = coordinator_.IsPreferredLeader();
      coordinator_.OnPreferredLeader(membership.value().is_preferred, sent_at,
                                     BootClock::now());
      if (coordinator_.IsPreferredLeader() && !was_preferred)
        ReadLog();
      if (!instances_counted_)
        SetInstanceCount(membership.value().instances);
      ConsiderTransfer();
      Poll();
    }
    ScheduleJoin();
  });
}

void GrantDriver::ReadNewest() {
  log_.ReadNewest([this](Result<GrantLog::Batch> batch) {
    if (batch) {
      coordinator_.OnNewestRecords(ToLogEntries(batch.value()),
                                   batch.value().end, BootClock::now());
      PublishChanges();
      ScheduleRead();
      // A leader continues at once in a log that replaced the former one.
      Poll();
      return;
    }
    read_timer_.expires_after(kRetryDelay);
    read_timer_.async_wait([this](boost::system::error_code error) {
      if (!error)
        ReadNewest();
    });
  });
}

void GrantDriver::ScheduleRead() {
  std::chrono::milliseconds delay = kFollowerReadInterval;
  if (coordinator_.IsLeader() || coordinator_.IsPreferredLeader())
    delay = kLeaderReadInterval;
  else if (relay_active_)
    delay = kRelayedReadInterval;
  read_timer_.expires_after(delay);
  read_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      ReadLog();
  });
}

void GrantDriver::ReadLog() {
  if (reading_log_)
    return;
  reading_log_ = true;
  const BootTime sent_at = BootClock::now();
  const bool in_order =
      coordinator_.IsLeader() || coordinator_.IsPreferredLeader() ||
      (coordinator_.NeedsLog() && !coordinator_.NeedsOnlyUpdates());
  const auto handler = [this, sent_at,
                        in_order](const Result<GrantLog::Batch>& batch) {
    reading_log_ = false;
    ScheduleRead();
    if (!batch)
      return;
    if (batch.value().truncated) {
      ReadNewest();
      return;
    }
    const BootTime now = BootClock::now();
    const auto records = ToLogEntries(batch.value());
    if (in_order)
      coordinator_.OnLogRecords(records, batch.value().end, sent_at, now);
    else
      coordinator_.OnNewestRecords(records, batch.value().end, now);
    PublishChanges();
    Poll();
  };
  // An instance that only routes needs the newest table and not all records in
  // between.
  if (in_order)
    log_.Read(coordinator_.next_offset(), handler);
  else
    log_.ReadNewest(handler);
}

void GrantDriver::SchedulePoll() {
  poll_timer_.expires_after(coordinator_.IsLeader() ? kLeaderPollInterval
                                                    : kFollowerPollInterval);
  poll_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    Poll();
    SchedulePoll();
  });
}

void GrantDriver::PollSoon() {
  if (polls_soon_)
    return;
  polls_soon_ = true;
  std::size_t rows = 0;
  for (const auto& [service, table] : coordinator_.tables())
    rows += table.rows().size();
  poll_soon_timer_.expires_after(kPollPausePerRow *
                                 static_cast<std::int64_t>(rows));
  poll_soon_timer_.async_wait([this](boost::system::error_code error) {
    polls_soon_ = false;
    if (!error)
      Poll();
  });
}

void GrantDriver::Poll() {
  const BootTime now = BootClock::now();
  const GrantActions actions = coordinator_.Poll(now);
  if (actions.append) {
    log_.Append(*actions.append, [this, now](LogAppendResult result) {
      coordinator_.OnAppendEnded(result, now, BootClock::now());
      if (stopping_ && !coordinator_.IsLeader())
        log_.Leave();
      PublishChanges();
      Poll();
    });
  }
  for (const KeyCall& call : actions.calls)
    Start(call);
  ReadLogIfNeeded();
  PublishChanges();
}

void GrantDriver::PublishChanges() {
  const BootTime now = BootClock::now();
  for (const auto& record : coordinator_.TakeUnreadableRecords()) {
    EventLog::Write(kGrantRecordUnreadable, {{"offset", record.offset},
                                             {"key", record.key},
                                             {"reason", record.reason}});
  }
  if (coordinator_.term() && known_term_offset_ != coordinator_.term_offset()) {
    known_term_offset_ = coordinator_.term_offset();
    update_sender_.clear();
  }
  const bool is_leader = coordinator_.IsLeader();
  if (coordinator_.log_epoch() != log_epoch_) {
    log_epoch_ = coordinator_.log_epoch();
    EventLog::Write(kGrantLogReplaced,
                    {{"epoch", log_epoch_},
                     {"position", coordinator_.next_offset()},
                     {"continues", is_leader ? 1 : 0}});
  }
  if (is_leader != was_leader_) {
    was_leader_ = is_leader;
    leader_started_at_ = now;
    if (!is_leader && coordinator_.term() && coordinator_.term()->resigned)
      AwaitSuccessor();
    if (is_leader) {
      former_relays_.clear();
      for (const auto& [zone, relay] : zone_relays_.addresses()) {
        if (relay != address_)
          former_relays_.push_back(relay);
      }
      SchedulePoll();
      ScheduleRead();
    }
    EventLog::Write(
        is_leader ? kGrantLeadershipStarted : kGrantLeadershipEnded,
        {{"term", coordinator_.term_offset()},
         {"instance", coordinator_.term() ? coordinator_.term()->instance
                                          : std::string("none")},
         {"changes_in_ms", is_leader
                               ? std::chrono::duration_cast<milliseconds>(
                                     coordinator_.changes_allowed_from() - now)
                                     .count()
                               : 0}});
  }
  const bool active = coordinator_.IsActive(now);
  if (was_active_ && !active && is_leader)
    EventLog::Write(kGrantLeadershipPaused,
                    {{"term", coordinator_.term_offset()}});
  was_active_ = active;
  if (coordinator_.tables_version() != published_tables_version_) {
    published_tables_version_ = coordinator_.tables_version();
    EventLog::WriteLazily(kKeysChanged, [&] {
      std::vector<LogField> fields{{"log_end", coordinator_.next_offset()}};
      for (const auto& [service, table] : coordinator_.tables()) {
        fields.emplace_back("rows_" + service, table.rows().size());
        fields.emplace_back(
            "moving_" + service,
            std::ranges::count_if(table.rows(), &KeyAssignment::moving));
      }
      return fields;
    });
    observer_.OnKeysChanged(coordinator_);
  }
  const std::vector<TableUpdate> updates = coordinator_.TakeUpdates();
  if (updates.empty())
    return;
  for (const TableUpdate& update : updates) {
    SendUpdate(update);
    if (update.term && update.term->resigned &&
        update.term->instance == self_.instance)
      resignation_ = update;
  }
}

void GrantDriver::Start(const KeyCall& call) {
  if (call.kind == KeyCall::Kind::kRelease) {
    const auto client = HttpClient::Create(io_, EndpointOf(call.address));
    release_clients_[call.id] = client;
    Send(client, call, [this, id = call.id] { release_clients_.erase(id); });
    return;
  }
  GrantQueue& queue = grant_queues_[call.upstream.name];
  queue.calls.push_back(call);
  SendNextGrant(call.upstream.name);
}

void GrantDriver::SendNextGrant(const std::string& upstream) {
  const auto it = grant_queues_.find(upstream);
  if (it == grant_queues_.end() || it->second.in_progress ||
      it->second.calls.empty())
    return;
  GrantQueue& queue = it->second;
  const KeyCall call = std::move(queue.calls.front());
  queue.calls.pop_front();
  if (!queue.client || !queue.client->IsReusable() ||
      queue.address != call.address) {
    if (queue.client)
      queue.client->Abort();
    queue.client = HttpClient::Create(io_, EndpointOf(call.address));
    queue.address = call.address;
  }
  queue.in_progress = true;
  Send(queue.client, call, [this, upstream] {
    const auto known = grant_queues_.find(upstream);
    if (known == grant_queues_.end())
      return;
    known->second.in_progress = false;
    SendNextGrant(upstream);
  });
}

void GrantDriver::Send(const std::shared_ptr<HttpClient>& client,
                       const KeyCall& call,
                       const std::function<void()>& on_done) {
  HttpClient::CallOptions options;
  // The response to a release arrives when the requests in progress have ended.
  options.timeout = call.kind == KeyCall::Kind::kGrant ? durations_.call_timeout
                                                       : durations_.grant_ttl;
  options.connect_timeout = durations_.call_timeout;
  options.reset_on_timeout = true;
  options.stays_open_if_not_sent = true;
  options.body_limit = kMaxKeyResponseBytes;
  options.may_send = [this, id = call.id, client = client.get()] {
    return coordinator_.MaySend(id, client->connected_at(), BootClock::now());
  };
  options.match = [this, call](const HttpResponse& response) {
    return protocol_.MatchKeyResponse(response, call);
  };
  client->Call(
      protocol_.FormatKeyCall(call), std::move(options),
      [this, call, on_done](HttpCallResult result, HttpResponse& response) {
        std::pair<KeyCallResult, std::string> outcome{KeyCallResult::kUnknown,
                                                      ""};
        if (result == HttpCallResult::kAnswered)
          outcome = protocol_.ParseKeyResponse(call, response);
        else if (result == HttpCallResult::kNotSent)
          outcome.first = KeyCallResult::kWithheld;
        else if (result == HttpCallResult::kRefused ||
                 result == HttpCallResult::kNotConnected)
          outcome.first = KeyCallResult::kUnreachable;
        if (result == HttpCallResult::kAnswered &&
            protocol_.ParseNotice(response, call.upstream.name).leaving)
          coordinator_.OnUpstreamLeaving(call.service, call.upstream);
        const bool grant = call.kind == KeyCall::Kind::kGrant;
        metrics_.Count("key_calls_total",
                       std::string("kind=\"") + (grant ? "grant" : "release") +
                           "\",result=\"" + std::string(Name(outcome.first)) +
                           '"');
        if (outcome.first != KeyCallResult::kDone) {
          EventLog::WriteLazily(kKeyCallFailed, [&] {
            return std::vector<LogField>{{"kind", grant ? "grant" : "release"},
                                         {"result", Name(outcome.first)},
                                         {"status", response.status},
                                         {"upstream", call.upstream.name},
                                         {"first", call.keys.first},
                                         {"last", call.keys.last},
                                         {"token", call.token}};
          });
        }
        coordinator_.OnCallEnded(call.id, outcome.first, outcome.second,
                                 BootClock::now());
        on_done();
        PollSoon();
      });
}

}  // namespace pollenrudder
