// ForwardHandler: sends forwarded requests and issues request ids.

#include "callers/forward_handler.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "base/event_log.h"
#include "callers/callers_events.h"
#include "callers/error_response.h"
#include "callers/issued_ids_response.h"

namespace pollenrudder {
namespace {

// The ingress enforces the limit of the service. The leader accepts the largest
// limit of any service, since its routing table may be older than that of the
// ingress.
constexpr std::uint64_t kMaxBodyBytes = 64 << 20;

}  // namespace

ForwardHandler::ForwardHandler(const IngressContext& context,
                               boost::asio::io_context& io)
    : context_(context), io_(io) {}

std::uint64_t ForwardHandler::BodyLimit(const HttpRequest& /*request*/) {
  return kMaxBodyBytes;
}

void ForwardHandler::Handle(std::shared_ptr<CallerExchange> exchange) {
  auto request = ForwardedRequest::Parse(exchange->request.control_lines);
  if (!request) {
    EventLog::Write(kForwardRefused,
                    {{"from", exchange->remote_endpoint.address().to_string()},
                     {"message", request.error().message}});
    exchange->Respond(CreateErrorResponse(ErrorKind::kMalformedRequest, {}));
    return;
  }
  if (request.value().ids_to_issue > 0)
    Issue(exchange, request.value());
  else
    Send(exchange, std::move(request.value()));
}

std::optional<std::uint32_t> ForwardHandler::ShardOf(
    const ForwardedRequest& request) const {
  const RoutingTablePointer table = context_.tables.Load();
  const RoutedService* const service =
      table ? table->FindService(request.service) : nullptr;
  if (service && service->settings.is_sharded)
    return request.shard;
  return std::nullopt;
}

void ForwardHandler::Issue(const std::shared_ptr<CallerExchange>& exchange,
                           const ForwardedRequest& request) {
  context_.sender.Issue(
      request.upstream, ShardOf(request), request.ids_to_issue,
      [exchange, &io = io_](IssuedIds ids) {
        boost::asio::post(io, [exchange, ids = std::move(ids)] {
          if (ids.error) {
            exchange->Respond(CreateErrorResponse(*ids.error, {}));
            return;
          }
          HttpResponse response = CreateIssuedIdsResponse(ids.ids);
          SetAnsweredHeaders(response, {});
          exchange->Respond(response);
        });
      });
}

void ForwardHandler::Send(const std::shared_ptr<CallerExchange>& exchange,
                          ForwardedRequest request) {
  UpstreamRequest upstream_request;
  upstream_request.shard = ShardOf(request);
  upstream_request.service = std::move(request.service);
  upstream_request.upstream = request.upstream;
  upstream_request.epoch = request.epoch;
  upstream_request.request_id = std::move(request.request_id);
  upstream_request.flow = request.flow;
  upstream_request.deadline = BootClock::now() + request.remaining_time;
  upstream_request.http =
      std::shared_ptr<const HttpRequest>(exchange, &exchange->request);
  const std::uint64_t ticket = context_.sender.Submit(
      std::move(upstream_request),
      [exchange, &io = io_](UpstreamResult result) {
        boost::asio::post(io, [exchange, result = std::move(result)]() mutable {
          if (result.error) {
            exchange->Respond(
                CreateErrorResponse(*result.error, result.request_id));
            return;
          }
          SetAnsweredHeaders(result.response, result.request_id);
          exchange->Respond(result.response);
        });
      });
  exchange->set_on_cancel(
      [&sender = context_.sender, ticket, upstream = request.upstream] {
        sender.Cancel(ticket, upstream);
      });
}

}  // namespace pollenrudder
