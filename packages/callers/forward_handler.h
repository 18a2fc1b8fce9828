// Requests that other instances forward to this one as the leader.

#ifndef POLLENRUDDER_CALLERS_FORWARD_HANDLER_H_
#define POLLENRUDDER_CALLERS_FORWARD_HANDLER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "callers/forwarded_request.h"
#include "callers/ingress_context.h"
#include "callers/request_handler.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Passes forwarded requests to the UpstreamSender, which checks shard, epoch
// and lease. It never forwards them further. Used on one thread.
class ForwardHandler final : public RequestHandler {
 public:
  // `context` and `io` must outlive the object.
  ForwardHandler(const IngressContext& context, boost::asio::io_context& io);

  // RequestHandler:
  std::uint64_t BodyLimit(const HttpRequest& request) override;
  void Handle(std::shared_ptr<CallerExchange> exchange) override;

 private:
  void Issue(const std::shared_ptr<CallerExchange>& exchange,
             const ForwardedRequest& request);
  void Send(const std::shared_ptr<CallerExchange>& exchange,
            ForwardedRequest request);
  // The shard of a service that is divided by key, else nothing.
  std::optional<std::uint32_t> ShardOf(const ForwardedRequest& request) const;

  const IngressContext& context_;
  boost::asio::io_context& io_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_FORWARD_HANDLER_H_
