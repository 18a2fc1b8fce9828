// Handles requests that other instances forward to this instance as the leader
// of an upstream.

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
// and lease. A forwarded request is never forwarded again. Used on one thread.
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
  // Returns the shard of the request, or nothing if its service is not divided
  // by key.
  std::optional<std::uint32_t> ShardOf(const ForwardedRequest& request) const;

  const IngressContext& context_;
  boost::asio::io_context& io_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_FORWARD_HANDLER_H_
