// State of a request from its arrival to its response.

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
#include "entry/received_request.h"
#include "fleet/listed_upstream.h"

namespace pollenrudder {

class CallerConnection;

// One send of a request to an upstream that has not ended.
struct Attempt {
  // The value of ActiveRequest::attempt_count at its start.
  std::uint32_t number = 0;
  ListedUpstream upstream;
  std::shared_ptr<HttpClient> client;
  // When it began, or when the upstream has confirmed that it is not cold.
  BootTime sent_at{};
  // A second send, while the first is in progress.
  bool is_hedge = false;
  // The upstream has not yet confirmed that it is not cold; the request has not
  // been sent.
  bool is_confirming = false;
};

// The state that the Forwarder keeps for each request.
struct ActiveRequest {
  // Expired once the caller has disconnected.
  std::weak_ptr<CallerConnection> caller;
  // Sequence number of the request on its connection.
  std::uint64_t sequence = 0;
  std::shared_ptr<const ReceivedRequest> received;
  std::string request_id;
  std::string route;
  std::uint64_t configuration_version = 0;
  // See RequestFingerprint(); unset until it is needed.
  std::optional<std::uint64_t> fingerprint;
  bool repeatable = false;
  std::uint32_t max_attempts = 1;
  DispatchRequest dispatch;

  // The attempts in progress: none while the request is queued, and two if it
  // is hedged.
  std::vector<Attempt> attempts;
  // The connections of the former attempts. A late copy of a response there has
  // the id of this request, so no further attempt uses them.
  std::vector<std::weak_ptr<HttpClient>> former_clients;
  // Number of sends, including several to one upstream.
  std::uint32_t sends = 0;
  // Number of attempts: the sends, and the attempts that ended before because
  // their upstream did not confirm that it is not cold.
  std::uint32_t attempt_count = 0;
  // Set if an upstream may have run the request.
  bool may_have_run = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
  // Null if the request is not hedged.
  std::unique_ptr<boost::asio::steady_timer> hedge_timer;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ACTIVE_REQUEST_H_
