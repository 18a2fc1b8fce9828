// UpstreamLeader: admission, sending and responses. Grants, probes and drains
// are in upstream_leader_control.cc.

#include "upstreams/upstream_leader.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/event_log.h"
#include "base/socket_address.h"
#include "quarantine/fingerprint.h"
#include "routing/routing_events.h"
#include "upstreams/upstreams_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

// A request of which a connection accepted no byte is sent on another one.
constexpr std::uint32_t kMaxAttempts = 3;
// Minimum remaining lease duration for sending a request.
constexpr milliseconds kMinRunBefore{1};

std::uint32_t ShardOrZero(const UpstreamRequest& request) {
  return request.shard.value_or(0);
}

milliseconds MillisecondsUntil(BootTime time, BootTime now) {
  return std::chrono::duration_cast<milliseconds>(time - now);
}

std::uint64_t ToNumber(milliseconds duration) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(duration.count(), 0));
}

std::string UpstreamLabels(const std::string& upstream,
                           std::string_view outcome) {
  return "upstream=\"" + upstream + "\",outcome=\"" + std::string(outcome) +
         "\"";
}

ErrorKind ErrorOf(AdmissionResult result) {
  switch (result) {
    case AdmissionResult::kDeadlinePassed:
      return ErrorKind::kNotRunDeadline;
    case AdmissionResult::kClosed:
      return ErrorKind::kNotRunMoved;
    default:
      return ErrorKind::kNotRunOverloaded;
  }
}

const ServiceSettings& SettingsOf(const RoutingTable& table,
                                  const std::string& upstream) {
  const RoutedUpstream* const routed = table.FindUpstream(upstream);
  assert(routed);
  const RoutedService* const service = table.FindService(routed->service);
  assert(service);
  return service->settings;
}

Admission::Options AdmissionOptions(const ServiceSettings& settings) {
  Admission::Options options;
  // Each request in flight needs its own connection.
  options.slots = std::min(settings.slots, settings.connections);
  options.queue_length = settings.queue_length;
  return options;
}

}  // namespace

UpstreamLeader::UpstreamLeader(const Context& context,
                               std::string name,
                               const RoutingTablePointer& table,
                               std::shared_ptr<SharedLease> lease)
    : context_(context),
      name_(std::move(name)),
      lease_(std::move(lease)),
      pool_(context.stream_factory,
            EndpointOf(table->FindUpstream(name_)->address),
            SettingsOf(*table, name_).connections,
            ParseLimits{},
            *this),
      admission_(AdmissionOptions(SettingsOf(*table, name_))),
      health_(UpstreamHealth::Options{}),
      load_(BootClock::now()),
      answered_(
          context.metrics.CounterFor("pollenrudder_upstream_requests_total",
                                     UpstreamLabels(name_, "answered"))),
      not_run_(
          context.metrics.CounterFor("pollenrudder_upstream_requests_total",
                                     UpstreamLabels(name_, "not-run"))),
      unknown_(
          context.metrics.CounterFor("pollenrudder_upstream_requests_total",
                                     UpstreamLabels(name_, "unknown"))),
      region_bytes_(
          context.metrics.CounterFor("pollenrudder_region_link_bytes_total",
                                     "kind=\"data\"")),
      duration_(
          context.metrics.SummaryFor("pollenrudder_upstream_duration_seconds",
                                     "upstream=\"" + name_ + "\"")) {
  SetTable(table);
  records_ = std::make_unique<RequestRecords>(upstream_->service, name_,
                                              RequestRecords::Options{});
}

UpstreamLeader::~UpstreamLeader() {
  CancelCall(grant_call_);
  CancelCall(probe_call_);
  for (auto& [ticket, item] : items_) {
    if (item.connection)
      pool_.Discard(item.connection);
  }
}

LogOffset UpstreamLeader::EpochOf(std::uint32_t shard) const {
  if (!service_->settings.is_sharded)
    return upstream_->leader_fence;
  if (shard >= service_->shard_owners.size() ||
      service_->shard_owners[shard] != upstream_index_)
    return kNoOffset;
  return std::max(service_->shard_offsets[shard], upstream_->leader_fence);
}

bool UpstreamLeader::HasLease(BootTime now) const {
  return upstream_->leader_fence == lease_->fence &&
         lease_->valid_until() - now >= kMinRunBefore;
}

std::optional<ErrorKind> UpstreamLeader::FindRefusal(
    const UpstreamRequest& request,
    BootTime now) const {
  const std::uint32_t shard = ShardOrZero(request);
  const LogOffset epoch = EpochOf(shard);
  if (released_ || epoch == kNoOffset || epoch != request.epoch ||
      request.shard.has_value() != service_->settings.is_sharded ||
      drains_.IsBlocked(shard))
    return ErrorKind::kNotRunMoved;
  if (!HasLease(now))
    return ErrorKind::kNotRunNoLease;
  if (request.deadline <= now)
    return ErrorKind::kNotRunDeadline;
  return std::nullopt;
}

void UpstreamLeader::Submit(std::uint64_t ticket,
                            UpstreamRequest request,
                            UpstreamCallback callback) {
  const BootTime now = BootClock::now();
  Item& item = items_[ticket];
  item.request = std::move(request);
  item.callback = std::move(callback);
  if (const auto refusal = FindRefusal(item.request, now)) {
    Refuse(ticket, *refusal);
    return;
  }
  if (health_.state() == UpstreamHealth::State::kLost) {
    Refuse(ticket, ErrorKind::kNotRunUnreachable);
    return;
  }
  const HttpRequest& http = *item.request.http;
  item.fingerprint = RequestFingerprint(item.request.service, http.method,
                                        http.target, http.body);
  const Quarantine::Mark mark =
      context_.quarantine.Check(item.request.service, item.fingerprint, now);
  if (mark == Quarantine::Mark::kQuarantined) {
    Refuse(ticket, ErrorKind::kNotRunQuarantined);
    return;
  }
  item.suspect = mark == Quarantine::Mark::kSuspect;
  if (!item.request.request_id.empty() && !BeginRecord(item, now)) {
    items_.erase(ticket);
    return;
  }
  Admit(ticket, item, now);
  SendReady();
}

bool UpstreamLeader::BeginRecord(Item& item, BootTime now) {
  const auto end_with_error = [&](ErrorKind error, const LogEvent& event) {
    (DescribeError(error).outcome == Outcome::kNotRun ? not_run_ : unknown_)
        .Add();
    EventLog::WriteLazily(event, [&] {
      return std::vector<LogField>{{"upstream", name_},
                                   {"error", DescribeError(error).name}};
    });
    item.callback({error, {}, item.request.request_id});
  };
  auto id = RequestId::Parse(item.request.request_id);
  if (!id || id.value().service != item.request.service ||
      id.value().upstream != name_ ||
      id.value().shard != ShardOrZero(item.request)) {
    end_with_error(ErrorKind::kInvalidRequestId, kRequestIdRefused);
    return false;
  }
  BeginResult begin =
      records_->Begin(id.value(), EpochOf(ShardOrZero(item.request)), now);
  switch (begin.kind) {
    case BeginResult::Kind::kRun:
      item.recorded_id = std::move(id.value());
      return true;
    case BeginResult::Kind::kRepeatAnswered: {
      UpstreamResult result;
      result.response.status = begin.response->status;
      result.response.header_lines = begin.response->headers;
      result.response.body = begin.response->body;
      result.request_id = item.request.request_id;
      answered_.Add();
      EventLog::WriteLazily(kRepeatAnswered, [&] {
        return std::vector<LogField>{{"upstream", name_},
                                     {"request_id", result.request_id}};
      });
      item.callback(std::move(result));
      return false;
    }
    default:
      end_with_error(begin.error, begin.kind == BeginResult::Kind::kFull
                                      ? kRequestRecordsFull
                                      : kRequestIdRefused);
      return false;
  }
}

void UpstreamLeader::Admit(std::uint64_t ticket,
                           const Item& item,
                           BootTime now) {
  AdmissionRequest request;
  request.ticket = ticket;
  request.flow = item.request.flow;
  request.deadline = item.request.deadline;
  request.suspect = item.suspect;
  const Admission::Decision decision = admission_.Submit(request, now);
  if (decision.displaced)
    Refuse(*decision.displaced, ErrorKind::kNotRunOverloaded);
  switch (decision.result) {
    case AdmissionResult::kQueued:
      return;
    case AdmissionResult::kAdmitted:
      items_.at(ticket).state = ItemState::kReady;
      ready_.push_back(ticket);
      return;
    default:
      Refuse(ticket, ErrorOf(decision.result));
      return;
  }
}

void UpstreamLeader::AdmitQueued(BootTime now) {
  while (const auto decision = admission_.Next(now)) {
    const auto found = items_.find(decision->ticket);
    if (found == items_.end())
      continue;
    if (decision->result == AdmissionResult::kAdmitted) {
      found->second.state = ItemState::kReady;
      ready_.push_back(decision->ticket);
    } else {
      Refuse(decision->ticket, ErrorOf(decision->result));
    }
  }
}

void UpstreamLeader::SendReady() {
  while (!ready_.empty()) {
    if (health_.state() != UpstreamHealth::State::kReachable)
      return;
    if (!CanSend(BootClock::now())) {
      // The next tick sends a grant; its response updates the clock reading.
      granted_ = false;
      context_.request_tick();
      return;
    }
    const ConnectionPool::Connection connection = pool_.Acquire();
    if (!connection) {
      if (pool_.CanOpen() && opening_ < ready_.size()) {
        ++opening_;
        pool_.Open([this](const ConnectionPool::Connection& opened,
                          boost::system::error_code error) {
          --opening_;
          if (opened) {
            pool_.Return(opened);
          } else {
            RecordOpenError(error);
            OnConnectionFailed();
          }
          SendReady();
        });
      }
      return;
    }
    const std::uint64_t ticket = ready_.front();
    ready_.pop_front();
    Send(ticket, connection);
  }
}

void UpstreamLeader::Send(std::uint64_t ticket,
                          const ConnectionPool::Connection& connection) {
  Item& item = items_.at(ticket);
  const BootTime now = BootClock::now();
  if (const auto refusal = FindRefusal(item.request, now)) {
    pool_.Return(connection);
    Refuse(ticket, *refusal);
    return;
  }
  const std::uint32_t shard = ShardOrZero(item.request);
  if (drains_.in_flight() == 0)
    health_.OnRequestsStarted(now);
  drains_.OnSent(shard);
  if (item.attempts++ == 0)
    load_.Count(shard);
  item.state = ItemState::kSent;
  item.connection = connection;
  item.sent_at = now;
  item.run_before = now + std::min<BootTime::duration>(
                              kRunBefore, lease_->valid_until() - now);
  item.sent_id = item.request.request_id.empty()
                     ? context_.id_prefix + std::to_string(ticket)
                     : item.request.request_id;
  std::string text = FormatRequest(*item.request.http, ControlLines(item, now));
  if (upstream_->region != context_.region)
    region_bytes_.Add(text.size());
  connection->Exchange(
      std::move(text), item.request.http->method == "HEAD",
      [this, ticket](HttpClientConnection::ExchangeResult result) {
        OnExchangeEnded(ticket, std::move(result));
      });
}

std::string UpstreamLeader::ControlLines(const Item& item, BootTime now) const {
  constexpr std::size_t kTypicalBytes = 256;
  std::string lines;
  lines.reserve(kTypicalBytes);
  AppendHeader(lines, "Pollenrudder-Fence", item.request.epoch);
  AppendHeader(lines, "Pollenrudder-Shard", ShardOrZero(item.request));
  if (service_->settings.checks_fence)
    AppendHeader(lines, "Pollenrudder-Run-Before",
                 clock_.Translate(item.run_before));
  AppendHeader(lines, "Pollenrudder-Deadline",
               ToNumber(MillisecondsUntil(item.request.deadline, now)));
  AppendHeader(lines, "Pollenrudder-Request-Id", item.sent_id);
  return lines;
}

void UpstreamLeader::OnExchangeEnded(
    std::uint64_t ticket,
    HttpClientConnection::ExchangeResult result) {
  const auto found = items_.find(ticket);
  assert(found != items_.end());
  Item& item = found->second;
  switch (result.end) {
    case HttpClientConnection::ExchangeOutcome::kAnswered:
      HandleResponse(ticket, item, std::move(result.response));
      break;
    case HttpClientConnection::ExchangeOutcome::kNotWritten:
      drains_.OnEnded(ShardOrZero(item.request));
      pool_.Discard(std::exchange(item.connection, nullptr));
      if (item.attempts < kMaxAttempts) {
        item.state = ItemState::kReady;
        ready_.push_front(ticket);
      } else {
        item.state = ItemState::kReady;
        Refuse(ticket, ErrorKind::kNotRunUnreachable);
      }
      OnConnectionFailed();
      break;
    case HttpClientConnection::ExchangeOutcome::kLost:
      OnDisconnected(ticket, item, ErrorKind::kUnknownUpstreamLost);
      break;
    case HttpClientConnection::ExchangeOutcome::kInvalidResponse:
      OnDisconnected(ticket, item, ErrorKind::kUnknownAnswerDamaged);
      break;
  }
  const BootTime now = BootClock::now();
  AdmitQueued(now);
  SendReady();
  ReportDrains(now);
}

void UpstreamLeader::HandleResponse(std::uint64_t ticket,
                                    Item& item,
                                    HttpResponse response) {
  const BootTime now = BootClock::now();
  UpdateClock(response, now);
  const auto id = FindHeader(response.control_lines, "Pollenrudder-Request-Id");
  const bool refused =
      response.status == 503 &&
      FindHeader(response.control_lines, "Pollenrudder-Not-Run") == "1";
  if (upstream_->region != context_.region) {
    region_bytes_.Add(response.header_lines.size() +
                      response.control_lines.size() + response.body.size());
  }
  // An upstream that echoes request ids does so in every response, so a missing
  // id is as invalid as the id of another request.
  const bool id_mismatch = service_->settings.echoes_request_id
                               ? id != item.sent_id
                               : id.has_value() && id != item.sent_id;
  if (id_mismatch) {
    EventLog::Write(kResponseInvalid, {{"upstream", name_},
                                       {"request_id", item.sent_id},
                                       {"answered_id", id.value_or("")}});
    Abandon(ticket, ErrorKind::kUnknownAnswerDamaged, false);
    return;
  }
  const bool was_reachable =
      health_.state() == UpstreamHealth::State::kReachable;
  health_.OnResponse(now);
  if (!was_reachable)
    OnReachable();
  duration_.Observe(now - item.sent_at);
  drains_.OnEnded(ShardOrZero(item.request));
  const auto connection = std::exchange(item.connection, nullptr);
  // A repeat has the same id, so a late copy of this response would pass for
  // the answer to it. Without an id, a copy would pass for the refusal of any
  // request that follows on the connection.
  if (refused && (!item.request.request_id.empty() || !id))
    pool_.Discard(connection);
  else
    pool_.Return(connection);
  UpstreamResult result;
  result.request_id = item.sent_id;
  if (refused) {
    const auto kind = ErrorKindFromName(
        FindHeader(response.control_lines, "Pollenrudder-Error").value_or(""));
    result.error = kind && DescribeError(*kind).outcome == Outcome::kNotRun
                       ? *kind
                       : ErrorKind::kNotRunOverloaded;
    EndRequest(ticket, std::move(result), SlotResult::kShed);
    return;
  }
  RecordResponse(item, now);
  result.response = std::move(response);
  result.response.control_lines.clear();
  EndRequest(ticket, std::move(result), SlotResult::kAnswered);
}

void UpstreamLeader::RecordResponse(const Item& item, BootTime now) {
  const std::uint64_t false_before = context_.quarantine.false_quarantines();
  if (!context_.quarantine.RecordResponse(item.request.service,
                                          item.fingerprint, now))
    return;
  const bool was_quarantined =
      context_.quarantine.false_quarantines() != false_before;
  EventLog::Write(
      was_quarantined ? kFalseQuarantine : kFingerprintCleared,
      {{"service", item.request.service}, {"fingerprint", item.fingerprint}});
}

void UpstreamLeader::OnDisconnected(std::uint64_t ticket,
                                    Item& item,
                                    ErrorKind error) {
  lost_fingerprints_[item.fingerprint] |= item.suspect;
  Abandon(ticket, error, true);
  OnConnectionFailed();
}

void UpstreamLeader::EndRequest(std::uint64_t ticket,
                                UpstreamResult result,
                                SlotResult slot_result) {
  auto node = items_.extract(ticket);
  assert(!node.empty());
  Item& item = node.mapped();
  assert(!item.connection);
  const BootTime now = BootClock::now();
  if (item.state == ItemState::kWaiting)
    admission_.Cancel(ticket);
  else
    admission_.Finished(ticket, slot_result, now);
  if (item.state == ItemState::kReady)
    std::erase(ready_, ticket);
  FinishRecord(item, result);
  const Outcome outcome =
      result.error ? DescribeError(*result.error).outcome : Outcome::kAnswered;
  switch (outcome) {
    case Outcome::kAnswered:
      answered_.Add();
      break;
    case Outcome::kNotRun:
      not_run_.Add();
      break;
    case Outcome::kUnknown:
      unknown_.Add();
      break;
  }
  if (item.callback)
    item.callback(std::move(result));
}

void UpstreamLeader::FinishRecord(const Item& item,
                                  const UpstreamResult& result) {
  if (!item.recorded_id)
    return;
  const BootTime now = BootClock::now();
  const std::uint64_t not_stored_before = records_->responses_not_stored();
  if (!result.error) {
    records_->FinishWithResponse(
        *item.recorded_id,
        {result.response.status, result.response.header_lines,
         result.response.body},
        now);
  } else if (DescribeError(*result.error).outcome == Outcome::kNotRun) {
    records_->FinishNotRun(*item.recorded_id, now);
  } else {
    records_->FinishUnknown(*item.recorded_id, *result.error, now);
  }
  if (records_->responses_not_stored() != not_stored_before) {
    EventLog::Write(kResponseNotStored,
                    {{"upstream", name_}, {"request_id", item.sent_id}});
  }
}

void UpstreamLeader::Refuse(std::uint64_t ticket, ErrorKind error) {
  assert(DescribeError(error).outcome == Outcome::kNotRun);
  UpstreamResult result;
  result.error = error;
  EndRequest(ticket, std::move(result), SlotResult::kFailed);
}

void UpstreamLeader::Abandon(std::uint64_t ticket, ErrorKind error, bool hold) {
  Item& item = items_.at(ticket);
  assert(item.state == ItemState::kSent);
  pool_.Discard(std::exchange(item.connection, nullptr));
  // An upstream that checks fences starts no request after run-before. Any
  // other upstream may run the request until its deadline.
  const BootTime may_run_until =
      service_->settings.checks_fence
          ? item.run_before
          : std::max(item.run_before, item.request.deadline);
  drains_.OnAbandoned(ShardOrZero(item.request), may_run_until);
  UpstreamResult result;
  result.error = error;
  result.request_id = item.sent_id;
  if (hold && item.callback) {
    held_results_.push_back({std::exchange(item.callback, nullptr), result,
                             item.fingerprint, item.request.deadline});
  }
  EndRequest(ticket, std::move(result), SlotResult::kFailed);
}

bool UpstreamLeader::Cancel(std::uint64_t ticket) {
  const auto found = items_.find(ticket);
  if (found == items_.end())
    return false;
  found->second.callback = nullptr;
  if (found->second.state == ItemState::kSent)
    Abandon(ticket, ErrorKind::kUnknownUpstreamLost, false);
  else
    Refuse(ticket, ErrorKind::kNotRunShuttingDown);
  const BootTime now = BootClock::now();
  AdmitQueued(now);
  SendReady();
  return true;
}

IssuedIds UpstreamLeader::Issue(std::optional<std::uint32_t> shard,
                                std::uint32_t count) {
  const BootTime now = BootClock::now();
  const std::uint32_t shard_or_zero = shard.value_or(0);
  const LogOffset epoch = EpochOf(shard_or_zero);
  if (released_ || epoch == kNoOffset || drains_.IsBlocked(shard_or_zero))
    return {ErrorKind::kNotRunMoved, {}};
  if (!HasLease(now))
    return {ErrorKind::kNotRunNoLease, {}};
  IssuedIds issued;
  for (std::uint32_t index = 0; index < count; ++index)
    issued.ids.push_back(records_->Issue(shard_or_zero, epoch, now).ToText());
  EventLog::WriteLazily(kRequestIdIssued, [&] {
    return std::vector<LogField>{
        {"upstream", name_}, {"shard", shard_or_zero}, {"count", count}};
  });
  return issued;
}

void UpstreamLeader::CheckDeadlines(BootTime now) {
  std::vector<std::uint64_t> ended;
  for (const auto& [ticket, item] : items_) {
    if (item.request.deadline <= now)
      ended.push_back(ticket);
  }
  for (const std::uint64_t ticket : ended) {
    if (items_.at(ticket).state == ItemState::kSent)
      Abandon(ticket, ErrorKind::kUnknownDeadline, false);
    else
      Refuse(ticket, ErrorKind::kNotRunDeadline);
  }
}

}  // namespace pollenrudder
