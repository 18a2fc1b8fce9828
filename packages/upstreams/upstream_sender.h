// Thread that sends requests to upstreams.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "ownership/controller_action.h"
#include "upstreams/upstream_listener.h"
#include "upstreams/upstream_request.h"

namespace pollenrudder {

// Sends requests, on its own thread, to the upstreams that this instance leads.
// Set the routing table and the leases first, then submit requests. All
// functions may be called from any thread. Requests and control messages reach
// the thread through two bounded rings, so that a flood of requests never
// delays the expiry of a lease. Related: UpstreamLeader, which handles one
// upstream.
class UpstreamSender {
 public:
  struct Options {
    // "<name>.<incarnation>" of this instance, and its region.
    std::string instance;
    std::string region;
    // Capacity of the ring between the caller threads and the sender.
    std::size_t ring_capacity = 8192;
  };

  // The references must outlive the object.
  static std::unique_ptr<UpstreamSender> Create(const Options& options,
                                                UpstreamListener& listener,
                                                Metrics& metrics);
  // Stops and joins the thread. Pending callbacks are not called.
  ~UpstreamSender();
  UpstreamSender(const UpstreamSender&) = delete;
  UpstreamSender& operator=(const UpstreamSender&) = delete;

  // Sends a request and calls `callback` once, on the sender's thread. If the
  // ring is full, calls it immediately with not_run_overloaded. Returns the
  // ticket for Cancel().
  std::uint64_t Submit(UpstreamRequest request, UpstreamCallback callback);
  // Cancels a request. Its callback is not called, unless it already was.
  void Cancel(std::uint64_t ticket, const std::string& upstream);
  // Issues `count` request ids for a shard of an upstream.
  void Issue(std::string upstream,
             std::optional<std::uint32_t> shard,
             std::uint32_t count,
             IssueCallback callback);

  // Actions of Controller. ApplyLease() takes effect on the next send, even
  // while the thread is busy.
  void ApplyLease(const SetLease& action);
  void Drain(DrainShards action);
  void Resume(ResumeShards action);
  void SetTable(RoutingTablePointer table);
  void Mark(MarkFingerprints action);

  // Number of requests that were submitted and have not ended.
  std::size_t requests_in_flight() const;

 private:
  class Core;

  explicit UpstreamSender(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_H_
