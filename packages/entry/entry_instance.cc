// EntryInstance: the parts of a process and their news.

#include "entry/entry_instance.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "entry/entry_events.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHousekeepingInterval{500};
// While leaving: how often to look whether all is done.
constexpr milliseconds kLeaveInterval{50};
// New callers are accepted for this long after the start of a leave: until then
// the balancer may still send them.
constexpr milliseconds kAcceptWhileLeaving{2600};
// The process ends this long before it would be ended by force.
constexpr milliseconds kLeaveMargin{150};
// What has not been sent to an upstream by then is refused.
constexpr milliseconds kRefuseMargin{1000};
// What upstreams still work on by then is ended.
constexpr milliseconds kEndMargin{400};

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Forwarder::Options ForwarderOptions(const EntrySettings& settings) {
  Forwarder::Options options;
  options.dispatch = {settings.zone, settings.region_of_zone, RandomSeed()};
  options.retry_ratio = settings.retry_ratio;
  options.retry_slack = settings.retry_slack;
  options.retry_window = settings.retry_window;
  return options;
}

GrantCoordinator::Options DutyOptions(const EntrySettings& settings) {
  GrantCoordinator::Options options;
  options.instance = settings.instance;
  options.incarnation = std::to_string(RandomSeed());
  options.report_address = settings.report_address;
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
  const auto listening = instance->Listen();
  if (!listening)
    return listening.error();
  EventLog::Write(kEntryStarted, {{"instance", settings.instance},
                                  {"zone", settings.zone},
                                  {"callers", settings.caller_address},
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
      forwarder_(io, protocol, *metrics_, ForwarderOptions(settings)),
      duty_(io,
            DutyOptions(settings),
            LoadReport{settings.instance, settings.zone, settings.cores, {}},
            log,
            protocol,
            *metrics_,
            *this),
      relay_(io, settings.list_interval, *this),
      plan_relay_(io, *this),
      housekeeping_timer_(io),
      removal_timer_(io),
      leave_timer_(io) {}

EntryInstance::~EntryInstance() = default;

Result<void> EntryInstance::Listen() {
  auto acceptor = SocketAcceptor::Listen(
      io_, settings_.caller_address,
      [this](boost::asio::ip::tcp::socket socket) {
        const auto link = CallerConnection::Create(std::move(socket), *this);
        links_.insert(link);
        link->Start();
      });
  if (!acceptor)
    return acceptor.error();
  acceptor_ = std::move(acceptor.value());
  const auto answer = [this](const HttpRequest& request,
                             const HttpServer::Respond& respond) {
    respond(AnswerProbe(PathOf(request.target)));
  };
  auto probe = HttpServer::Listen(io_, settings_.probe_address, answer);
  if (!probe)
    return probe.error();
  probe_ = std::move(probe.value());
  if (!settings_.metrics_address.empty()) {
    auto metrics = HttpServer::Listen(io_, settings_.metrics_address, answer);
    if (!metrics)
      return metrics.error();
    metrics_server_ = std::move(metrics.value());
  }
  // Datagrams and connections of other instances come to one port.
  auto plans = HttpServer::Listen(
      io_, settings_.report_address,
      [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        respond(plan_relay_.HandleRequest(PathOf(request.target)));
      });
  if (!plans)
    return plans.error();
  plan_server_ = std::move(plans.value());
  auto channel = InstanceChannel::Open(io_, settings_.report_address, *this);
  if (!channel)
    return channel.error();
  channel_ = std::move(channel.value());
  duty_.Start(*channel_);
  ScheduleHousekeeping();
  return boost::outcome_v2::success();
}

void EntryInstance::OnConfiguration(
    std::shared_ptr<const RouterConfiguration> plan,
    std::shared_ptr<const ConfigurationDocument> document) {
  // Readings of the store may arrive out of order; a version never reverts.
  if (plan_ && plan->version <= plan_->version)
    return;
  plan_ = std::move(plan);
  plan_relay_.Serve(std::move(document));
  EventLog::Write(kConfigurationApplied,
                  {{"plan", plan_->version},
                   {"routes", plan_->route_count()},
                   {"services", plan_->services.size()}});
  forwarder_.SetConfiguration(plan_, fleet_, instances_);
  duty_.OnFleet(fleet_, *plan_);
  OnKeysChanged(duty_.duty());
  SendNews();
}

std::vector<FleetChange> EntryInstance::ApplyChanges(
    const std::vector<FleetChange>& changes) {
  const BootTime now = BootClock::now();
  std::vector<FleetChange> news;
  for (const FleetChange& change : changes) {
    const bool known = fleet_.Find(change.name) != nullptr;
    const bool changed = fleet_.Apply(change, now);
    // A removal that is held back here matters to others all the same.
    if (!changed && (change.entry || !known))
      continue;
    news.push_back(change);
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
  if (!news.empty())
    OnFleetNews();
  ScheduleRemovals();
  return news;
}

void EntryInstance::OnFleetChanges(std::uint64_t from,
                                   std::uint64_t to,
                                   const std::vector<FleetChange>& changes) {
  relay_.OnListRead(from, to, ApplyChanges(changes));
  SendNews();
}

void EntryInstance::OnFleetSnapshot(
    std::uint64_t position,
    const std::vector<ListedUpstream>& entries) {
  if (fleet_.Replace(entries, BootClock::now()))
    OnFleetNews();
  ScheduleRemovals();
  // What changed before this position is not known as single changes.
  relay_.OnListRead(position, position, {});
  SendNews();
}

void EntryInstance::SendNews() {
  if (duty_.duty().IsLeader())
    duty_.SendToInstances(MakeUpdate());
}

RelayedUpdate EntryInstance::MakeUpdate() const {
  RelayedUpdate news = relay_.MakeUpdate(plan_ ? plan_->version : 0,
                                         duty_.duty().last_change_offset());
  if (plan_relay_.IsServing()) {
    news.configuration_sources = duty_.instance_tracker().OnePerZone(
        news.configuration_version, BootClock::now());
    news.configuration_sources[settings_.zone] = settings_.report_address;
  }
  return news;
}

void EntryInstance::OnLoadReport(const LoadReport& report,
                                 const std::string& sender) {
  const bool is_new = duty_.OnLoadReport(report, sender);
  // It reads the store by itself until it hears from the holder.
  if (is_new && duty_.duty().IsLeader())
    channel_->Send({sender}, MakeUpdate());
}

void EntryInstance::OnTableUpdate(const TableUpdate& update) {
  duty_.OnTableUpdate(update);
}

void EntryInstance::OnRelayedUpdate(const RelayedUpdate& news) {
  // The holder reads by itself.
  if (duty_.duty().IsLeader())
    return;
  relay_.OnRelayedUpdate(news, plan_ ? plan_->version : 0);
  duty_.OnLogEnd(news.grant_log_offset);
}

void EntryInstance::OnRelayedChanges(const std::vector<FleetChange>& changes) {
  ApplyChanges(changes);
}

void EntryInstance::OnNewerConfiguration(const RelayedUpdate& news) {
  const auto source = news.configuration_sources.find(settings_.zone);
  if (source == news.configuration_sources.end() ||
      source->second == settings_.report_address) {
    feeds_->ReadConfigurationNow();
    return;
  }
  plan_relay_.Fetch(news.configuration_version, source->second);
}

void EntryInstance::OnConfigurationFetched(
    const ConfigurationDocument& document) {
  feeds_->ApplyConfiguration(document);
}

void EntryInstance::OnConfigurationFetchFailed() {
  feeds_->ReadConfigurationNow();
}

void EntryInstance::OnRelayChanged(bool relayed) {
  EventLog::Write(relayed ? kRelayStarted : kRelayStopped, {});
  duty_.SetRelayActive(relayed);
}

void EntryInstance::OnListUnavailable() {
  EventLog::Write(kListUnavailable, {{"upstreams", fleet_.upstreams().size()}});
}

void EntryInstance::OnListAvailable() {
  fleet_.OnListAvailable(BootClock::now());
  EventLog::Write(kListAvailable, {{"upstreams", fleet_.upstreams().size()}});
}

void EntryInstance::OnFleetNews() {
  forwarder_.SetFleet(fleet_, instances_);
  if (plan_)
    duty_.OnFleet(fleet_, *plan_);
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
      OnFleetNews();
    ScheduleRemovals();
  });
}

void EntryInstance::ScheduleHousekeeping() {
  housekeeping_timer_.expires_after(kHousekeepingInterval);
  housekeeping_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    forwarder_.CloseIdleConnections();
    ScheduleHousekeeping();
  });
}

void EntryInstance::Leave() {
  if (leaving_)
    return;
  leaving_ = true;
  leave_began_ = BootClock::now();
  EventLog::Write(kEntryLeaving, {{"instance", settings_.instance},
                                  {"requests", forwarder_.active_count()},
                                  {"callers", links_.size()}});
  duty_.Stop();
  CheckLeft();
}

void EntryInstance::CheckLeft() {
  const auto passed = BootClock::now() - leave_began_;
  if (passed >= kAcceptWhileLeaving && acceptor_->IsOpen())
    acceptor_->Close();
  if (passed >= settings_.grace_period - kRefuseMargin)
    forwarder_.RejectUnsent();
  if (passed >= settings_.grace_period - kEndMargin)
    forwarder_.AbortInFlight();
  // Links close themselves once idle; the set changes meanwhile.
  const std::vector<std::shared_ptr<CallerConnection>> links(links_.begin(),
                                                             links_.end());
  for (const auto& link : links) {
    if (acceptor_->IsOpen())
      link->StartLeaving();
    else
      link->StopReading();
  }
  const bool done =
      !acceptor_->IsOpen() && links_.empty() && forwarder_.active_count() == 0;
  if (done || passed >= settings_.grace_period - kLeaveMargin) {
    EventLog::Write(kEntryStopped, {{"instance", settings_.instance},
                                    {"requests", forwarder_.active_count()}});
    io_.stop();
    return;
  }
  leave_timer_.expires_after(kLeaveInterval);
  leave_timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      CheckLeft();
  });
}

HttpResponse EntryInstance::AnswerProbe(std::string_view path) const {
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
  return plan_ ? plan_->limits : CallerLimits();
}

void EntryInstance::OnRequest(const std::shared_ptr<CallerConnection>& link,
                              std::uint64_t sequence,
                              HttpRequest request) {
  forwarder_.OnRequest(link, sequence, std::move(request));
}

void EntryInstance::OnCallerDisconnected(
    const std::shared_ptr<CallerConnection>& link) {
  forwarder_.OnCallerDisconnected(link);
}

void EntryInstance::OnConnectionClosed(
    const std::shared_ptr<CallerConnection>& link) {
  links_.erase(link);
}

void EntryInstance::OnBadRequest(ErrorKind kind) {
  metrics_->Count("entry_bad_requests_total",
                  "kind=\"" + std::string(AnswerFor(kind).name) + '"');
  EventLog::Write(kBadRequest, {{"kind", AnswerFor(kind).name}});
}

HttpResponse EntryInstance::MakeErrorResponse(ErrorKind kind) const {
  return forwarder_.MakeErrorResponse(kind, {}, std::chrono::nanoseconds(0));
}

void EntryInstance::OnKeysChanged(const GrantCoordinator& duty) {
  if (duty.IsLeader())
    relay_.StopReceiving();
  for (const auto& [service, table] : duty.tables())
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
