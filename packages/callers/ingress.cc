// Ingress: body limits and timers of the requests of one thread.

#include "callers/ingress.h"

#include <chrono>
#include <utility>
#include <vector>

#include "callers/ingress_request.h"
#include "callers/key_extractor.h"

namespace pollenrudder {
namespace {

// Body limit of requests that match no service. Their bodies are unused.
constexpr std::uint64_t kMaxUnroutedBodyBytes = 64 << 10;
// Resolution of retry delays and of the deadlines of forwarded requests.
constexpr std::chrono::milliseconds kTickInterval{5};

}  // namespace

Ingress::Ingress(const IngressContext& context, boost::asio::io_context& io)
    : context_(context),
      io_(io),
      view_(context),
      forward_pools_(io),
      tick_(io),
      random_(std::random_device()()),
      cross_region_bytes_(
          context.metrics.CounterFor("pollenrudder_region_link_bytes_total",
                                     "kind=\"data\"")),
      forwarded_requests_(
          context.metrics.CounterFor("pollenrudder_forwarded_requests_total")) {
}

Ingress::~Ingress() = default;

std::uint64_t Ingress::BodyLimit(const HttpRequest& request) {
  view_.Refresh();
  const RoutingTable* const table = view_.table();
  const RoutedService* const service =
      table ? table->FindServiceByPath(PathOf(request.target)) : nullptr;
  return service ? service->settings.max_body_bytes : kMaxUnroutedBodyBytes;
}

void Ingress::Handle(std::shared_ptr<CallerExchange> exchange) {
  std::make_shared<IngressRequest>(*this, std::move(exchange))->Start();
}

void Ingress::AddTimedRequest(const std::shared_ptr<IngressRequest>& request) {
  timed_requests_.insert(request);
  ScheduleTick();
}

void Ingress::RemoveTimedRequest(
    const std::shared_ptr<IngressRequest>& request) {
  timed_requests_.erase(request);
}

std::chrono::nanoseconds Ingress::RandomDelay(
    std::chrono::nanoseconds max_delay) {
  std::uniform_int_distribution<std::int64_t> delays(1, max_delay.count());
  return std::chrono::nanoseconds(delays(random_));
}

void Ingress::ScheduleTick() {
  if (tick_scheduled_ || timed_requests_.empty())
    return;
  tick_scheduled_ = true;
  tick_.expires_after(kTickInterval);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    tick_scheduled_ = false;
    OnTick();
    ScheduleTick();
  });
}

void Ingress::OnTick() {
  const BootTime now = BootClock::now();
  forward_pools_.CancelOverdueConnects(now);
  // Copied, since requests are removed from the set as they end.
  const std::vector<std::shared_ptr<IngressRequest>> requests(
      timed_requests_.begin(), timed_requests_.end());
  for (const auto& request : requests)
    request->CheckTimers(now);
}

}  // namespace pollenrudder
