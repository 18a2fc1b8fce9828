// A request for one upstream, and its answer.

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

// What UpstreamSender sends. The ingress has chosen upstream and shard by its
// own table; the sender checks both against the newest one.
struct UpstreamRequest {
  std::string service;
  std::string upstream;
  // Nothing if the service is not divided by key.
  std::optional<std::uint32_t> shard;
  // The epoch of the shard, or the fence of the upstream.
  LogOffset epoch = kNoOffset;
  // The issued id that the caller sent, or empty.
  std::string request_id;
  // Groups requests that share the slots in turn.
  std::uint64_t flow = 0;
  BootTime deadline;
  // Shared with the ingress, which may send it again.
  std::shared_ptr<const HttpRequest> http;
};

// How a request ended: with the answer of the upstream, or an error.
struct UpstreamAnswer {
  std::optional<ErrorKind> error;
  HttpResponse response;
  // The id the request was sent with; empty if it was not sent.
  std::string request_id;
};

// Called once, on the sender's thread.
using UpstreamCallback = std::function<void(UpstreamAnswer)>;

// Issued ids, or an error. Called once, on the sender's thread.
struct IssuedIds {
  std::optional<ErrorKind> error;
  std::vector<std::string> ids;
};
using IssueCallback = std::function<void(IssuedIds)>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_REQUEST_H_
