// A request from its arrival to its answer.

#ifndef POLLENRUDDER_ENTRY_ACTIVE_REQUEST_H_
#define POLLENRUDDER_ENTRY_ACTIVE_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/boot_clock.h"
#include "dispatch/dispatch_request.h"
#include "entry/http_client.h"
#include "fleet/listed_upstream.h"
#include "http/http_message.h"

namespace pollenrudder {

class CallerConnection;

// What the Forwarder keeps of a request.
struct ActiveRequest {
  // Empty once the caller has left.
  std::weak_ptr<CallerConnection> caller;
  // The request's place among those of its connection.
  std::uint64_t sequence = 0;
  HttpRequest message;
  std::string request_id;
  std::string route;
  std::uint64_t configuration_version = 0;
  bool repeatable = false;
  std::uint32_t max_attempts = 1;
  DispatchRequest dispatch;

  // The send that is under way, if any.
  std::optional<ListedUpstream> upstream;
  std::shared_ptr<HttpClient> link;
  BootTime sent_at{};
  // Times that it was sent, also to one upstream.
  std::uint32_t sends = 0;
  // An upstream may have run it.
  bool may_have_run = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ACTIVE_REQUEST_H_
