// Request to one upstream and its result.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_REQUEST_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "base/log_offset.h"
#include "http/http_message.h"

namespace pollenrudder {

// Input of UpstreamSender::Submit(). The ingress selects upstream and shard
// from its own routing table; the sender checks both against the latest table.
struct UpstreamRequest {
  std::string service;
  std::string upstream;
  // Empty if the service is not divided by key.
  std::optional<std::uint32_t> shard;
  // The epoch of the shard, or the leader fence of the upstream if the service
  // is not divided by key.
  LogOffset epoch = kNoOffset;
  // The issued request id that the caller sent, or empty.
  std::string request_id;
  // Requests with the same value form one flow; flows get the slots in turn.
  std::uint64_t flow = 0;
  BootTime deadline;
  // Shared with the ingress, which may retry the request.
  std::shared_ptr<const HttpRequest> http;
};

// Result of a request: the response of the upstream, or an error.
struct UpstreamResult {
  std::optional<ErrorKind> error;
  HttpResponse response;
  // The id that the request was sent with; empty if it was not sent.
  std::string request_id;
};

// Called once, on the sender's thread.
using UpstreamCallback = std::function<void(UpstreamResult)>;

// Result of UpstreamSender::Issue(): the issued request ids, or an error.
struct IssuedIds {
  std::optional<ErrorKind> error;
  std::vector<std::string> ids;
};
using IssueCallback = std::function<void(IssuedIds)>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_REQUEST_H_
