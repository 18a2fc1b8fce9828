// EntryInstance: connects the parts of the process.

#include "entry/entry_instance.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "base/log_position.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHousekeepingInterval{500};
// During a planned stop: interval of the progress checks.
constexpr milliseconds kLeaveCheckInterval{50};
// New callers are accepted for this long after the start of a planned stop:
// until then the load balancer may still send them.
constexpr milliseconds kAcceptWhileLeaving{2600};
// The process ends this long before it would be killed.
constexpr milliseconds kExitMargin{150};
// Requests that upstreams still process are aborted this long before the end of
// the grace period.
constexpr milliseconds kAbortMargin{400};

// Responses may take this part of the memory while they are received. They are
// copied once more for the caller.
constexpr std::size_t kResponseMemoryDivisor = 8;
// Callers may open 3/4 of the sockets, and the connections to each of the other
// listeners 1/32. The rest is for upstreams, the store and other instances.
constexpr std::size_t kCallerSocketsNumerator = 3;
constexpr std::size_t kCallerSocketsDivisor = 4;
constexpr std::size_t kOtherSocketsDivisor = 32;
constexpr std::size_t kMinOtherSockets = 8;
// The other listeners get no bodies.
constexpr std::uint64_t kMaxOtherBodyBytes = 1 << 10;
// When a caller may repeat a request that was refused for lack of memory.
constexpr milliseconds kRetryAfterLackOfMemory{500};

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Forwarder::Options ForwarderOptions(const EntrySettings& settings,
                                    const FleetContact& contact) {
  Forwarder::Options options;
  options.dispatch = {settings.zone, settings.region_of_zone, RandomSeed(),
                      settings.leaving_owner_time, &contact};
  options.retry_ratio = settings.retry_ratio;
  options.retry_slack = settings.retry_slack;
  options.retry_window = settings.retry_window;
  options.hedge_share = settings.hedge_share;
  options.response_bytes = settings.memory_bytes / kResponseMemoryDivisor;
  return options;
}

GrantCoordinator::Options CoordinatorOptions(const EntrySettings& settings) {
  GrantCoordinator::Options options;
  options.instance = settings.instance;
  options.incarnation = std::to_string(RandomSeed());
  options.report_address = settings.report_address;
  options.region_of_zone = settings.region_of_zone;
  options.times.grant_ttl =
      std::min(options.times.grant_ttl, settings.max_grant_ttl);
  return options;
}

}  // namespace

Result<std::unique_ptr<EntryInstance>> EntryInstance::Start(
    boost::asio::io_context& io,
    const EntrySettings& settings,
    const UpstreamProtocol& protocol,
    GrantLog& log) {
  std::unique_ptr<EntryInstance> instance(
      new EntryInstance(io, settings, protocol, log));
  const auto listen_result = instance->Listen();
  if (!listen_result)
    return listen_result.error();
  EventLog::Write(kEntryStarted, {{"instance", settings.instance},
                                  {"zone", settings.zone},
                                  {"callers", settings.caller_address},
                                  {"memory", instance->memory_->limit_bytes()},
                                  {"store", settings.store_address}});
  return instance;
}

EntryInstance::EntryInstance(boost::asio::io_context& io,
                             const EntrySettings& settings,
                             const UpstreamProtocol& protocol,
                             GrantLog& log)
    : io_(io),
      settings_(settings),
      metrics_(Metrics::Create()),
      memory_(MemoryAccount::ForProcess(settings.memory_bytes)),
      contact_(settings.list_interval),
      crash_guard_(io, *metrics_, *this),
      forwarder_(io,
                 protocol,
                 *metrics_,
                 memory_,
                 crash_guard_,
                 ForwarderOptions(settings, contact_)),
      grant_driver_(
          io,
          CoordinatorOptions(settings),
          LoadReport{settings.instance, settings.zone, settings.cores, {}},
          log,
          protocol,
          *metrics_,
          *this),
      update_relay_(io, settings.list_interval, *this),
      configuration_relay_(io, *this),
      housekeeping_timer_(io),
      removal_timer_(io),
      leave_timer_(io) {}

EntryInstance::~EntryInstance() = default;

Result<void> EntryInstance::Listen() {
  auto acceptor = SocketAcceptor::Listen(
      io_, settings_.caller_address, CallerConnection::kReceiveBufferBytes,
      [this](boost::asio::ip::tcp::socket socket) {
        OnCallerAccepted(std::move(socket));
      });
  if (!acceptor)
    return acceptor.error();
  acceptor_ = std::move(acceptor.value());
  const HttpServer::Options options{
      .max_connections = std::max(settings_.max_sockets / kOtherSocketsDivisor,
                                  kMinOtherSockets),
      .body_bytes = kMaxOtherBodyBytes,
      .receive_buffer_bytes = CallerConnection::kReceiveBufferBytes,
      .memory = memory_};
  const auto handle_probe = [this](const HttpRequest& request,
                                   const HttpServer::Respond& respond) {
    respond(HandleProbe(PathOf(request.target)));
  };
  auto probe =
      HttpServer::Listen(io_, settings_.probe_address, options, handle_probe);
  if (!probe)
    return probe.error();
  probe_server_ = std::move(probe.value());
  if (!settings_.metrics_address.empty()) {
    auto metrics = HttpServer::Listen(io_, settings_.metrics_address, options,
                                      handle_probe);
    if (!metrics)
      return metrics.error();
    metrics_server_ = std::move(metrics.value());
  }
  // Datagrams (UDP) and connections (TCP) of other instances use the same
  // address.
  auto configuration_server = HttpServer::Listen(
      io_, settings_.report_address, options,
      [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        respond(configuration_relay_.HandleRequest(PathOf(request.target)));
      });
  if (!configuration_server)
    return configuration_server.error();
  configuration_server_ = std::move(configuration_server.value());
  auto channel = InstanceChannel::Open(io_, settings_.report_address, *this);
  if (!channel)
    return channel.error();
  channel_ = std::move(channel.value());
  grant_driver_.Start(*channel_);
  ScheduleHousekeeping();
  return boost::outcome_v2::success();
}

void EntryInstance::OnCallerAccepted(boost::asio::ip::tcp::socket socket) {
  const std::size_t limit =
      settings_.max_sockets / kCallerSocketsDivisor * kCallerSocketsNumerator;
  if (connections_.size() >= limit) {
    metrics_->Count("entry_connection_limit_total");
    // If all others wait for a response, the new connection is closed.
    if (!memory_->ReclaimStalest())
      return;
  }
  const auto connection = CallerConnection::Create(std::move(socket), *this);
  connections_.insert(connection);
  connection->Start();
}

void EntryInstance::OnConfiguration(
    std::shared_ptr<const RouterConfiguration> configuration,
    std::shared_ptr<const ConfigurationDocument> document) {
  // Reads of the store may complete out of order; an older version never
  // replaces a newer one.
  if (configuration_ && configuration->version <= configuration_->version)
    return;
  configuration_ = std::move(configuration);
  configuration_relay_.Serve(std::move(document));
  EventLog::Write(kConfigurationApplied,
                  {{"plan", configuration_->version},
                   {"routes", configuration_->route_count()},
                   {"services", configuration_->services.size()}});
  ReportBodyLimit();
  forwarder_.SetConfiguration(configuration_, fleet_, instances_);
  grant_driver_.OnFleet(fleet_, *configuration_);
  OnKeysChanged(grant_driver_.coordinator());
  SendUpdate();
}

void EntryInstance::ReportBodyLimit() {
  const std::uint64_t configured = configuration_->limits.body_bytes;
  const auto limit =
      std::min<std::uint64_t>(configured, memory_->largest_body_bytes());
  metrics_->Set("entry_body_limit_bytes", {}, static_cast<double>(limit));
  if (limit < configured) {
    EventLog::Write(kBodyLimitReduced,
                    {{"configured", configured}, {"limit", limit}});
  }
}

std::vector<FleetChange> EntryInstance::ApplyChanges(
    const std::vector<FleetChange>& changes) {
  const BootTime now = BootClock::now();
  std::vector<FleetChange> relevant;
  for (const FleetChange& change : changes) {
    const bool was_listed = fleet_.Find(change.name) != nullptr;
    const bool was_removed = fleet_.IsRemovalPending(change.name);
    const bool changed = fleet_.Apply(change, now);
    // A removal that is delayed here is still relayed to the other instances,
    // and so is an entry that ends the delay.
    const bool is_withdrawn =
        was_removed && !fleet_.IsRemovalPending(change.name);
    if (!changed && !is_withdrawn && !change.repeated &&
        (change.entry || !was_listed))
      continue;
    // The entry in use may be newer than the change in what it says of leaving.
    const ListedUpstream* entry = fleet_.Find(change.name);
    if (change.entry && entry != nullptr)
      relevant.push_back({change.name, *entry, change.repeated});
    else
      relevant.push_back(change);
    if (!changed && change.repeated)
      continue;
    if (!change.entry) {
      EventLog::Write(kUpstreamUnlisted, {{"upstream", change.name}});
      continue;
    }
    EventLog::Write(kUpstreamListed,
                    {{"upstream", change.name},
                     {"service", change.entry->service},
                     {"address", change.entry->address},
                     {"leaving", change.entry->leaving ? 1 : 0}});
  }
  if (!relevant.empty())
    ApplyFleet();
  ScheduleRemovals();
  return relevant;
}

void EntryInstance::OnFleetChanges(std::uint64_t from,
                                   std::uint64_t to,
                                   const std::vector<FleetChange>& changes) {
  contact_.OnListRead(BootClock::now());
  update_relay_.OnListRead(from, to, ApplyChanges(changes));
  SendUpdate();
}

void EntryInstance::OnFleetSnapshot(
    std::uint64_t previous_position,
    std::uint64_t position,
    const std::vector<ListedUpstream>& entries) {
  const bool restored = previous_position > 0 &&
                        LogEpochOf(position) > LogEpochOf(previous_position);
  if (restored)
    configuration_relay_.ServeAgain();
  const BootTime now = BootClock::now();
  contact_.OnListRead(now);
  const auto changes = restored
                           ? std::optional(fleet_.ReplaceRestored(entries, now))
                           : fleet_.ReplaceAndCompare(entries, now);
  ApplyFleet();
  ScheduleRemovals();
  // With the differences, the other instances need not read the whole list,
  // which hundreds of them would do at once after the store has dropped its
  // history.
  if (changes && previous_position > 0)
    update_relay_.OnListRead(previous_position, position, *changes);
  else
    update_relay_.OnListRead(position, position, {});
  SendUpdate();
}

void EntryInstance::OnEvacuatedZones(
    std::uint64_t position,
    const std::set<std::string, std::less<>>& zones) {
  if (position < evacuations_position_)
    return;
  evacuations_position_ = position;
  evacuated_zones_ = zones;
  if (!fleet_.SetEvacuatedZones(zones))
    return;
  std::string names;
  for (const std::string& zone : zones)
    names += (names.empty() ? "" : ",") + zone;
  metrics_->Count("entry_evacuation_changes_total");
  metrics_->Set("entry_evacuated_zones", {}, static_cast<double>(zones.size()));
  EventLog::Write(kEvacuationsChanged,
                  {{"zones", names}, {"position", position}});
  ApplyFleet();
  // The next regular update may be more than a second away.
  SendUpdate();
}

void EntryInstance::OnEvacuationsRead(BootTime as_of) {
  contact_.OnEvacuationsRead(as_of);
  // Updates after reads of the list are further apart than an instance may be
  // without knowledge of the evacuations.
  if (configuration_ && configuration_->LimitsColdUpstreams() &&
      update_relay_.HasCurrentRead(BootClock::now()))
    SendUpdate();
}

void EntryInstance::OnListUnavailable() {
  list_available_ = false;
  EventLog::Write(kListUnavailable, {{"upstreams", fleet_.upstreams().size()}});
}

void EntryInstance::OnListAvailable() {
  list_available_ = true;
  fleet_.OnListAvailable(BootClock::now());
  EventLog::Write(kListAvailable, {{"upstreams", fleet_.upstreams().size()}});
  grant_driver_.OnStoreAvailable();
}

void EntryInstance::ApplyFleet() {
  forwarder_.SetFleet(fleet_, instances_);
  if (configuration_)
    grant_driver_.OnFleet(fleet_, *configuration_);
}

void EntryInstance::ReportContact() {
  const BootTime now = BootClock::now();
  const auto list_age = contact_.ListAge(now);
  const auto evacuations_age = contact_.EvacuationsAge(now);
  if (!list_age || !evacuations_age)
    return;
  const auto seconds = [](std::chrono::nanoseconds age) {
    return std::chrono::duration<double>(age).count();
  };
  metrics_->Set("entry_fleet_age_seconds", "of=\"list\"", seconds(*list_age));
  metrics_->Set("entry_fleet_age_seconds", "of=\"evacuations\"",
                seconds(*evacuations_age));
  const bool has_contact = contact_.HasLasted(milliseconds(0), now);
  if (has_contact == has_contact_)
    return;
  has_contact_ = has_contact;
  EventLog::Write(has_contact ? kFleetContactRestored : kFleetContactLost,
                  {{"list_age_ms", Milliseconds(*list_age)},
                   {"evacuations_age_ms", Milliseconds(*evacuations_age)}});
}

void EntryInstance::ScheduleRemovals() {
  const auto next = fleet_.NextRemoval();
  if (!next)
    return;
  removal_timer_.expires_after(std::max<std::chrono::nanoseconds>(
      *next - BootClock::now(), milliseconds(0)));
  removal_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    if (fleet_.ApplyDueRemovals(BootClock::now()))
      ApplyFleet();
    ScheduleRemovals();
  });
}

void EntryInstance::ScheduleHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingInterval);
  housekeeping_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    forwarder_.CloseIdleConnections();
    ReportContact();
    metrics_->Set("entry_memory_used_bytes", {},
                  static_cast<double>(memory_->used_bytes()));
    metrics_->Set("entry_memory_charges_refused", {},
                  static_cast<double>(memory_->refused_count()));
    ScheduleHousekeeping();
  });
}

void EntryInstance::Leave() {
  if (leaving_)
    return;
  leaving_ = true;
  leave_started_at_ = BootClock::now();
  EventLog::Write(kEntryLeaving, {{"instance", settings_.instance},
                                  {"requests", forwarder_.active_count()},
                                  {"callers", connections_.size()}});
  grant_driver_.Stop();
  CheckLeaveProgress();
}

void EntryInstance::CheckLeaveProgress() {
  const auto elapsed = BootClock::now() - leave_started_at_;
  if (elapsed >= kAcceptWhileLeaving && acceptor_->IsOpen())
    acceptor_->Close();
  forwarder_.StopBy(leave_started_at_ + settings_.grace_period - kAbortMargin);
  if (elapsed >= settings_.grace_period - kAbortMargin)
    forwarder_.AbortInFlight();
  // Idle connections close during the loop, which changes the set.
  const std::vector<std::shared_ptr<CallerConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    if (acceptor_->IsOpen())
      connection->StartLeaving();
    else
      connection->StopReading();
  }
  const bool done = !acceptor_->IsOpen() && connections_.empty() &&
                    forwarder_.active_count() == 0;
  if (done || elapsed >= settings_.grace_period - kExitMargin) {
    EventLog::Write(kEntryStopped, {{"instance", settings_.instance},
                                    {"requests", forwarder_.active_count()}});
    io_.stop();
    return;
  }
  leave_timer_.expires_after(kLeaveCheckInterval);
  leave_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      CheckLeaveProgress();
  });
}

HttpResponse EntryInstance::HandleProbe(std::string_view path) const {
  HttpResponse response;
  AppendHeader(response.header_lines, "Content-Type", "text/plain");
  if (path == "/metrics") {
    response.status = 200;
    response.body = metrics_->Render();
    return response;
  }
  response.status = IsReady() ? 200 : 503;
  response.body = IsReady() ? "ready\n" : "not ready\n";
  return response;
}

CallerLimits EntryInstance::CurrentLimits() const {
  return configuration_ ? configuration_->limits : CallerLimits();
}

void EntryInstance::OnRequest(
    const std::shared_ptr<CallerConnection>& connection,
    std::uint64_t sequence,
    std::shared_ptr<const ReceivedRequest> request) {
  forwarder_.OnRequest(connection, sequence, std::move(request));
}

void EntryInstance::OnCallerDisconnected(
    const std::shared_ptr<CallerConnection>& connection) {
  forwarder_.OnCallerDisconnected(connection);
}

void EntryInstance::OnConnectionClosed(
    const std::shared_ptr<CallerConnection>& connection) {
  connections_.erase(connection);
}

void EntryInstance::OnBadRequest(ErrorKind kind) {
  metrics_->Count("entry_bad_requests_total",
                  "kind=\"" + std::string(DescribeError(kind).name) + '"');
  EventLog::Write(kBadRequest, {{"kind", DescribeError(kind).name}});
}

void EntryInstance::OnMemoryAction(MemoryAction action, std::size_t bytes) {
  switch (action) {
    case MemoryAction::kRefuse:
      metrics_->Count("entry_memory_refusals_total");
      EventLog::Write(kMemoryRefusal,
                      {{"bytes", bytes}, {"used", memory_->used_bytes()}});
      break;
    case MemoryAction::kDropResponse:
      metrics_->Count("entry_memory_dropped_responses_total");
      EventLog::Write(kMemoryResponseDropped,
                      {{"bytes", bytes}, {"used", memory_->used_bytes()}});
      break;
    case MemoryAction::kClose:
      metrics_->Count("entry_memory_closed_connections_total");
      EventLog::Write(kMemoryReclaimed,
                      {{"bytes", bytes}, {"used", memory_->used_bytes()}});
      break;
  }
}

HttpResponse EntryInstance::MakeErrorResponse(ErrorKind kind) const {
  const bool lacks_memory = kind == ErrorKind::kNotRunOverloaded;
  return forwarder_.MakeErrorResponse(
      kind, {},
      lacks_memory ? kRetryAfterLackOfMemory : std::chrono::nanoseconds(0));
}

void EntryInstance::OnKeysChanged(const GrantCoordinator& coordinator) {
  if (coordinator.IsLeader())
    update_relay_.StopReceiving();
  for (const auto& [service, table] : coordinator.tables())
    forwarder_.SetKeyTable(service, &table);
}

void EntryInstance::OnInstanceCount(std::uint32_t instances) {
  instances_ = std::max(instances, 1U);
  forwarder_.SetFleet(fleet_, instances_);
}

std::map<std::string, ServiceLoad, std::less<>> EntryInstance::TakeLoad() {
  return forwarder_.TakeLoad();
}

}  // namespace pollenrudder
