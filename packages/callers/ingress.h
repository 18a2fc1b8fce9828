// Entry point of callers' requests on one I/O thread.

#ifndef POLLENRUDDER_CALLERS_INGRESS_H_
#define POLLENRUDDER_CALLERS_INGRESS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "callers/forward_pools.h"
#include "callers/ingress_context.h"
#include "callers/ingress_view.h"
#include "callers/request_handler.h"

namespace pollenrudder {

class IngressRequest;

// Receives requests of callers and routes each one to its upstream through the
// upstream's leader. Creates an IngressRequest per request and provides the
// state that these share. Used on one thread.
class Ingress final : public RequestHandler {
 public:
  // Path at which callers obtain request ids.
  static constexpr std::string_view kRequestIdsPath =
      "/pollenrudder/request-ids";

  // `context` and `io` must outlive the object.
  Ingress(const IngressContext& context, boost::asio::io_context& io);
  ~Ingress() override;

  // RequestHandler:
  std::uint64_t BodyLimit(const HttpRequest& request) override;
  void Handle(std::shared_ptr<CallerExchange> exchange) override;

  // CheckTimers() of an added request is called every few milliseconds until
  // the request is removed.
  void AddTimedRequest(const std::shared_ptr<IngressRequest>& request);
  void RemoveTimedRequest(const std::shared_ptr<IngressRequest>& request);

  // Returns a uniformly distributed random delay in (0, max_delay].
  std::chrono::nanoseconds RandomDelay(std::chrono::nanoseconds max_delay);

  const IngressContext& context() const { return context_; }
  boost::asio::io_context& io() { return io_; }
  IngressView& view() { return view_; }
  ForwardPools& forward_pools() { return forward_pools_; }
  Counter& cross_region_bytes() { return cross_region_bytes_; }
  Counter& forwarded_requests() { return forwarded_requests_; }

 private:
  void ScheduleTick();
  void OnTick();

  const IngressContext& context_;
  boost::asio::io_context& io_;
  IngressView view_;
  ForwardPools forward_pools_;
  boost::asio::steady_timer tick_;
  bool tick_scheduled_ = false;
  std::unordered_set<std::shared_ptr<IngressRequest>> timed_requests_;
  std::mt19937_64 random_;
  Counter& cross_region_bytes_;
  Counter& forwarded_requests_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_INGRESS_H_
