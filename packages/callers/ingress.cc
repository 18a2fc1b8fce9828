// Ingress.

#include "callers/ingress.h"

#include <chrono>
#include <utility>
#include <vector>

#include "callers/ingress_request.h"
#include "callers/key_extractor.h"

namespace pollenrudder {
namespace {

// Bodies of requests to no service are not read.
constexpr std::uint64_t kUnroutedBodyBytes = 64 << 10;
// The resolution of retry delays and of deadlines at the ingress.
constexpr std::chrono::milliseconds kTick{5};

}  // namespace

Ingress::Ingress(const IngressContext& context, boost::asio::io_context& io)
    : context_(context),
      io_(io),
      view_(context),
      forward_pools_(io),
      tick_(io),
      random_(std::random_device()()),
      region_bytes_(
          context.metrics.CounterFor("pollenrudder_region_link_bytes_total",
                                     "kind=\"data\"")),
      forwarded_(
          context.metrics.CounterFor("pollenrudder_forwarded_requests_total")) {
}

Ingress::~Ingress() = default;

std::uint64_t Ingress::BodyLimit(const HttpRequest& request) {
  view_.Refresh();
  const RoutingTable* const table = view_.table();
  const RoutedService* const service =
      table ? table->FindServiceByPath(PathOf(request.target)) : nullptr;
  return service ? service->settings.max_body_bytes : kUnroutedBodyBytes;
}

void Ingress::Handle(std::shared_ptr<CallerExchange> exchange) {
  std::make_shared<IngressRequest>(*this, std::move(exchange))->Start();
}

void Ingress::Watch(const std::shared_ptr<IngressRequest>& request) {
  watched_.insert(request);
  ScheduleTick();
}

void Ingress::Unwatch(const std::shared_ptr<IngressRequest>& request) {
  watched_.erase(request);
}

std::chrono::nanoseconds Ingress::Jitter(std::chrono::nanoseconds longest) {
  std::uniform_int_distribution<std::int64_t> delays(1, longest.count());
  return std::chrono::nanoseconds(delays(random_));
}

void Ingress::ScheduleTick() {
  if (tick_scheduled_ || watched_.empty())
    return;
  tick_scheduled_ = true;
  tick_.expires_after(kTick);
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
  forward_pools_.ExpireOpening(now);
  // A copy, since requests leave the set when they end.
  const std::vector<std::shared_ptr<IngressRequest>> watched(watched_.begin(),
                                                             watched_.end());
  for (const auto& request : watched)
    request->CheckTime(now);
}

}  // namespace pollenrudder
