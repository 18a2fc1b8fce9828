// UpstreamLeader: grants, clock readings, probes, loss of the upstream and the
// results held because of it, drains and table changes.

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include <boost/asio/error.hpp>

#include "base/event_log.h"
#include "routing/routing_events.h"
#include "upstreams/upstream_leader.h"
#include "upstreams/upstreams_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrantTimeout{300};
constexpr milliseconds kGrantRetryDelay{100};
constexpr milliseconds kConnectTimeout{500};

using State = UpstreamHealth::State;

}  // namespace

void UpstreamLeader::SetTable(const RoutingTablePointer& table) {
  const RoutedUpstream* const upstream = table->FindUpstream(name_);
  assert(upstream);
  table_ = table;
  upstream_ = upstream;
  upstream_index_ =
      static_cast<std::uint32_t>(upstream - table->upstreams.data());
  service_ = table->FindService(upstream->service);
  assert(service_);
  const ServiceSettings& settings = service_->settings;
  pool_.set_limit(settings.connections);
  admission_.SetLimits(std::min(settings.slots, settings.connections),
                       settings.queue_length);
  drains_.OnTable([this](std::uint32_t shard) { return EpochOf(shard); });
}

void UpstreamLeader::SetLease(const std::shared_ptr<SharedLease>& lease) {
  const BootTime now = BootClock::now();
  if (lease->fence != lease_->fence) {
    // Request records belong to one leader term; ids of another term are
    // refused.
    records_ = std::make_unique<RequestRecords>(upstream_->service, name_,
                                                RequestRecords::Options{});
    granted_ = false;
    CancelCall(grant_call_);
    drains_.Resume({}, true);
  }
  lease_ = lease;
  // A lease change that arrives after the table of the next leader must not
  // make this instance the leader again.
  if (released_ && HasLease(now)) {
    released_ = false;
    SetTable(table_);
  }
  Tick(now);
}

void UpstreamLeader::Release() {
  if (released_)
    return;
  released_ = true;
  EventLog::Write(kUpstreamReleased, {{"upstream", name_}});
  RefuseWaiting(ErrorKind::kNotRunMoved);
  CancelCall(grant_call_);
  CancelCall(probe_call_);
  // The next leader needs these connections.
  pool_.set_limit(0);
  pool_.CloseIdle();
  DeliverHeldResults(BootClock::now(), true);
}

void UpstreamLeader::Resume(const ResumeShards& resume) {
  drains_.Resume(resume.shards, resume.whole_upstream);
}

void UpstreamLeader::RefuseWaiting(ErrorKind error) {
  std::vector<std::uint64_t> waiting;
  for (const auto& [ticket, item] : items_) {
    if (item.state != ItemState::kSent)
      waiting.push_back(ticket);
  }
  for (const std::uint64_t ticket : waiting)
    Refuse(ticket, error);
}

void UpstreamLeader::Drain(const DrainShards& drain) {
  EventLog::Write(kUpstreamDrainStarted,
                  {{"upstream", name_},
                   {"drain_id", drain.drain_id},
                   {"shards", drain.shards.size()},
                   {"whole", drain.whole_upstream ? "true" : "false"}});
  drains_.Start(drain, [this](std::uint32_t shard) { return EpochOf(shard); });
  std::vector<std::uint64_t> waiting;
  std::vector<std::uint64_t> sent;
  for (const auto& [ticket, item] : items_) {
    if (!drains_.IsBlocked(item.request.shard.value_or(0)))
      continue;
    (item.state == ItemState::kSent ? sent : waiting).push_back(ticket);
  }
  for (const std::uint64_t ticket : waiting)
    Refuse(ticket, ErrorKind::kNotRunMoved);
  if (drain.upstream_lost) {
    for (const std::uint64_t ticket : sent)
      Abandon(ticket, ErrorKind::kUnknownUpstreamLost, true);
  }
  ReportDrains(BootClock::now());
}

void UpstreamLeader::ReportDrains(BootTime now) {
  if (!drains_.has_pending_drains())
    return;
  for (DrainFinished& finished : drains_.TakeFinished(now)) {
    EventLog::Write(kUpstreamDrainFinished,
                    {{"upstream", name_}, {"drain_id", finished.drain_id}});
    context_.listener.OnDrainFinished(std::move(finished));
  }
}

void UpstreamLeader::Tick(BootTime now) {
  CheckDeadlines(now);
  AdmitQueued(now);
  DeliverHeldResults(now, false);
  pool_.CancelOverdueConnects(now, kConnectTimeout);
  if (released_)
    return;
  if (grant_call_.active && now - grant_call_.sent_at >= kGrantTimeout) {
    CancelCall(grant_call_);
    EndGrant(false);
  }
  if (health_.IsProbeOverdue(now)) {
    CancelCall(probe_call_);
    EndProbe(false);
  }
  if (HasLease(now)) {
    if (health_.IsProbeDue(drains_.in_flight() > 0, now))
      StartProbe(now);
    if (!granted_ && !grant_call_.active && now >= next_grant_ &&
        health_.state() == State::kReachable)
      StartGrant(now);
  }
  SendReady();
  ReportDrains(now);
}

bool UpstreamLeader::needs_tick(BootTime now) const {
  if (released_ || !items_.empty() || !held_results_.empty() ||
      drains_.has_pending_drains() || probe_call_.active || grant_call_.active)
    return true;
  return HasLease(now) && (!granted_ || health_.state() != State::kReachable);
}

UpstreamLoad UpstreamLeader::Report(BootTime now) {
  const std::string labels = "upstream=\"" + name_ + "\"";
  Metrics& metrics = context_.metrics;
  metrics.Set("pollenrudder_upstream_in_flight", labels, drains_.in_flight());
  metrics.Set("pollenrudder_upstream_waiting", labels, admission_.waiting());
  metrics.Set("pollenrudder_upstream_connections", labels, pool_.count());
  metrics.Set("pollenrudder_request_records", labels,
              static_cast<double>(records_->size()));
  records_->RemoveExpired(now);
  return load_.Report(upstream_->service, name_, service_->settings.is_sharded,
                      drains_.in_flight(), now);
}

void UpstreamLeader::UpdateClock(const HttpResponse& response, BootTime now) {
  if (const auto reading =
          FindHeader(response.control_lines, "Pollenrudder-Clock"))
    clock_.OnReading(*reading, now);
}

bool UpstreamLeader::CanSend(BootTime now) const {
  return granted_ &&
         (!service_->settings.checks_fence || clock_.IsCurrent(now));
}

void UpstreamLeader::StartGrant(BootTime now) {
  next_grant_ = now + kGrantRetryDelay;
  HttpRequest request;
  request.method = "POST";
  request.target = "/pollenrudder/grant";
  AppendHeader(request.header_lines, "Host", upstream_->address);
  AppendHeader(request.header_lines, "Content-Type", "application/json");
  request.body = "{\"fence\": " + std::to_string(lease_->fence) + "}";
  StartCall(
      grant_call_, FormatRequest(request, {}),
      [this](const std::optional<HttpResponse>& response) {
        if (response)
          UpdateClock(*response, BootClock::now());
        // An upstream that does not check fences may not support grants.
        const bool checks = service_->settings.checks_fence;
        EndGrant(response && (!checks || (response->status / 100 == 2 &&
                                          clock_.IsCurrent(BootClock::now()))));
        if (!response)
          OnConnectionFailed();
      });
}

void UpstreamLeader::EndGrant(bool accepted) {
  context_.metrics.Count(
      "pollenrudder_grants_total",
      accepted ? "result=\"accepted\"" : "result=\"failed\"");
  EventLog::Write(accepted ? kGrantAccepted : kGrantFailed,
                  {{"upstream", name_}, {"fence", lease_->fence}});
  if (!accepted)
    return;
  granted_ = true;
  health_.OnResponse(BootClock::now());
  ForgetLosses();
  context_.listener.OnUpstreamObserved(
      {name_, UpstreamObserved::State::kReachable, {}});
  SendReady();
}

void UpstreamLeader::StartProbe(BootTime now) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/pollenrudder/health";
  AppendHeader(request.header_lines, "Host", upstream_->address);
  StartCall(probe_call_, FormatRequest(request, {}),
            [this](const std::optional<HttpResponse>& response) {
              EndProbe(response.has_value());
            });
  if (probe_call_.active) {
    health_.OnProbeSent(now);
    context_.metrics.Count("pollenrudder_probes_total");
  }
}

void UpstreamLeader::EndProbe(bool succeeded) {
  const BootTime now = BootClock::now();
  const State before = health_.state();
  if (succeeded)
    health_.OnProbeSucceeded(now);
  else
    health_.OnProbeFailed(now);
  const State after = health_.state();
  if (after == State::kLost && before == after && connection_refused_ &&
      !lost_fingerprints_.empty())
    ReportCrash();
  if (before == after)
    return;
  if (after == State::kReachable) {
    OnReachable();
  } else if (after == State::kLost) {
    OnLost();
  } else {
    EventLog::Write(kUpstreamSuspect, {{"upstream", name_}});
    context_.listener.OnUpstreamObserved(
        {name_, UpstreamObserved::State::kSuspect, {}});
  }
}

void UpstreamLeader::StartCall(ControlCall& call,
                               std::string request,
                               ControlHandler handler) {
  assert(!call.active);
  call.number = ++control_sequence_;
  call.sent_at = BootClock::now();
  // Responses to these calls have no id, so a connection that has carried
  // another call might return a late copy of its response.
  if (!pool_.CanOpen()) {
    if (const auto idle = pool_.Acquire())
      pool_.Discard(idle);
  }
  if (!pool_.CanOpen())
    return;
  call.active = true;
  pool_.Open(
      [this, &call, number = call.number, request = std::move(request),
       handler = std::move(handler)](const ConnectionPool::Connection& opened,
                                     boost::system::error_code error) {
        if (!opened)
          RecordOpenError(error);
        if (!call.active || call.number != number) {
          if (opened)
            pool_.Return(opened);
          return;
        }
        if (!opened) {
          call.active = false;
          handler(std::nullopt);
          return;
        }
        SendCall(call, opened, request, handler);
      });
}

void UpstreamLeader::SendCall(ControlCall& call,
                              const ConnectionPool::Connection& connection,
                              std::string request,
                              ControlHandler handler) {
  call.connection = connection;
  connection->Exchange(
      std::move(request), false,
      [this, &call, handler = std::move(handler)](
          HttpClientConnection::ExchangeResult result) {
        call.active = false;
        const auto used = std::exchange(call.connection, nullptr);
        const bool answered =
            result.end == HttpClientConnection::ExchangeOutcome::kAnswered;
        // A request accepts no copy of this response if it expects its id.
        if (answered && service_->settings.echoes_request_id)
          pool_.Return(used);
        else
          pool_.Discard(used);
        if (answered)
          handler(std::move(result.response));
        else
          handler(std::nullopt);
      });
}

void UpstreamLeader::CancelCall(ControlCall& call) {
  call.active = false;
  if (call.connection)
    pool_.Discard(std::exchange(call.connection, nullptr));
}

void UpstreamLeader::DeliverHeldResults(BootTime now, bool all) {
  std::vector<HeldResult> released;
  std::erase_if(held_results_, [&](HeldResult& held) {
    if (!all && held.until > now)
      return false;
    released.push_back(std::move(held));
    return true;
  });
  for (HeldResult& held : released)
    held.callback(std::move(held.result));
}

void UpstreamLeader::OnMarked(const std::vector<std::uint64_t>& fingerprints) {
  for (HeldResult& held : held_results_) {
    if (std::ranges::find(fingerprints, held.fingerprint) != fingerprints.end())
      held.until = BootTime();
  }
  DeliverHeldResults(BootClock::now(), false);
}

void UpstreamLeader::OnIdleConnectionEnded(bool orderly) {
  // A server may close idle connections in order at any time. A crashed server
  // ends all of them; the next request or probe detects it.
  if (!orderly || pool_.count() == 0)
    OnConnectionFailed();
}

void UpstreamLeader::OnConnectionFailed() {
  if (released_ || health_.state() != State::kReachable)
    return;
  const BootTime now = BootClock::now();
  health_.OnConnectionFailed(now);
  EventLog::Write(kUpstreamSuspect, {{"upstream", name_}});
  context_.listener.OnUpstreamObserved(
      {name_, UpstreamObserved::State::kSuspect, {}});
  if (HasLease(now) && health_.IsProbeDue(false, now))
    StartProbe(now);
  context_.request_tick();
}

void UpstreamLeader::OnReachable() {
  EventLog::Write(kUpstreamReachable, {{"upstream", name_}});
  // The upstream may have been restarted, so it gets the fence again before any
  // request.
  granted_ = false;
  clock_.Reset();
  next_grant_ = BootTime();
  context_.request_tick();
  ForgetLosses();
  context_.listener.OnUpstreamObserved(
      {name_, UpstreamObserved::State::kReachable, {}});
}

void UpstreamLeader::OnLost() {
  const BootTime now = BootClock::now();
  std::vector<std::uint64_t> sent;
  for (const auto& [ticket, item] : items_) {
    if (item.state == ItemState::kSent) {
      sent.push_back(ticket);
      lost_fingerprints_[item.fingerprint] |= item.suspect;
    }
  }
  for (const std::uint64_t ticket : sent)
    Abandon(ticket, ErrorKind::kUnknownUpstreamLost, true);
  RefuseWaiting(ErrorKind::kNotRunUnreachable);
  pool_.CloseIdle();
  granted_ = false;
  CancelCall(grant_call_);
  admission_.SetCold(now);
  EventLog::Write(kUpstreamCold, {{"upstream", name_}});
  if (connection_refused_) {
    ReportCrash();
    return;
  }
  // The upstream may only be paused or cut off. Its requests are marked if a
  // probe is refused later, or if the upstream is removed from the list.
  UpstreamObserved event{name_, UpstreamObserved::State::kLost, {}, {}};
  for (const auto& [fingerprint, ran_alone] : lost_fingerprints_)
    event.unproved_crashes.push_back({fingerprint, ran_alone});
  EventLog::Write(kUpstreamLost, {{"upstream", name_}, {"suspects", 0}});
  context_.listener.OnUpstreamObserved(std::move(event));
  DeliverHeldResults(now, true);
}

void UpstreamLeader::RecordOpenError(boost::system::error_code error) {
  connection_refused_ |= error == boost::asio::error::connection_refused;
}

void UpstreamLeader::ForgetLosses() {
  lost_fingerprints_.clear();
  connection_refused_ = false;
  DeliverHeldResults(BootClock::now(), true);
}

void UpstreamLeader::ReportCrash() {
  const BootTime now = BootClock::now();
  UpstreamObserved event{name_, UpstreamObserved::State::kLost, {}, {}};
  for (const auto& [fingerprint, ran_alone] : lost_fingerprints_) {
    event.suspect_fingerprints.push_back(fingerprint);
    const Quarantine::Mark mark = context_.quarantine.RecordCrash(
        upstream_->service, fingerprint, ran_alone, now);
    if (mark == Quarantine::Mark::kQuarantined) {
      EventLog::Write(kFingerprintQuarantined, {{"service", upstream_->service},
                                                {"fingerprint", fingerprint}});
      EventLog::Write(kFingerprintConfirmed,
                      {{"upstream", name_}, {"fingerprint", fingerprint}});
      context_.listener.OnFingerprintConfirmed(
          {upstream_->service, fingerprint});
    } else {
      EventLog::Write(kFingerprintSuspected, {{"service", upstream_->service},
                                              {"fingerprint", fingerprint}});
    }
  }
  EventLog::Write(
      kUpstreamLost,
      {{"upstream", name_}, {"suspects", event.suspect_fingerprints.size()}});
  lost_fingerprints_.clear();
  context_.listener.OnUpstreamObserved(std::move(event));
}

}  // namespace pollenrudder
