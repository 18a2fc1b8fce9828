// Requests, connections and grants of one upstream at its leader.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_LEADER_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_LEADER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/boot_clock.h"
#include "base/metrics.h"
#include "ownership/controller_action.h"
#include "quarantine/quarantine.h"
#include "routing/admission.h"
#include "routing/request_records.h"
#include "routing/routing_table.h"
#include "upstreams/connection_pool.h"
#include "upstreams/load_counter.h"
#include "upstreams/shard_drains.h"
#include "upstreams/shared_lease.h"
#include "upstreams/upstream_clock.h"
#include "upstreams/upstream_health.h"
#include "upstreams/upstream_listener.h"
#include "upstreams/upstream_request.h"

namespace pollenrudder {

// Sends requests to one upstream while this instance leads it. Submit() checks
// a request in this order: epoch, drain, lease, quarantine, repeated request
// id, admission. The request then waits for the grant and a connection. Epoch,
// drain, lease and deadline are checked again directly before it is sent.
//
// The result of a request whose connection was lost is held back until the
// upstream proves reachable or the marks of its fingerprint are in force. With
// an immediate result, the caller could send a request that crashed this
// upstream to the next upstream before its fingerprint is marked. If the
// upstream is lost without proof of a crash, nothing is marked and the results
// are delivered at once. Used on one thread. Related: UpstreamSender, which
// owns the objects of this class.
class UpstreamLeader final : public ConnectionPool::Listener {
 public:
  // Maximum time from sending a request until the upstream starts to run it.
  static constexpr std::chrono::milliseconds kRunBefore{400};

  struct Context {
    Quarantine& quarantine;
    UpstreamListener& listener;
    Metrics& metrics;
    ConnectionPool::StreamFactory stream_factory;
    // Prefix of the ids of requests without an issued id.
    std::string id_prefix;
    // Requests calls of Tick() while needs_tick() is true.
    std::function<void()> request_tick;
    // The region of this instance.
    std::string region;
  };

  // Precondition: `table` has the upstream with the fence of `lease`.
  UpstreamLeader(const Context& context,
                 std::string name,
                 const RoutingTablePointer& table,
                 std::shared_ptr<SharedLease> lease);
  ~UpstreamLeader() override;
  UpstreamLeader(const UpstreamLeader&) = delete;
  UpstreamLeader& operator=(const UpstreamLeader&) = delete;

  // `ticket` is unique at this instance and identifies the request for
  // Cancel().
  void Submit(std::uint64_t ticket,
              UpstreamRequest request,
              UpstreamCallback callback);
  // Cancels a request without calling its callback. Returns false if the
  // request has already ended.
  bool Cancel(std::uint64_t ticket);
  IssuedIds Issue(std::optional<std::uint32_t> shard, std::uint32_t count);

  void Drain(const DrainShards& drain);
  void Resume(const ResumeShards& resume);
  // Precondition: `table` has the upstream.
  void SetTable(const RoutingTablePointer& table);
  // `lease` may be the current one, with a new expiry.
  void SetLease(const std::shared_ptr<SharedLease>& lease);
  // Called when the marks of these fingerprints are in force.
  void OnMarked(const std::vector<std::uint64_t>& fingerprints);

  // Call when another instance leads the upstream: refuses queued requests and
  // closes the connections once the requests in flight have ended.
  void Release();
  bool is_released() const { return released_ && items_.empty(); }

  // Checks deadlines, probes, grants and drains. Call it every kTick while
  // needs_tick() is true.
  static constexpr std::chrono::milliseconds kTick{5};
  void Tick(BootTime now);
  bool needs_tick(BootTime now) const;

  UpstreamLoad Report(BootTime now);

  // ConnectionPool::Listener:
  void OnIdleConnectionEnded(bool orderly) override;

 private:
  enum class ItemState { kWaiting, kReady, kSent };

  struct Item {
    UpstreamRequest request;
    UpstreamCallback callback;
    ItemState state = ItemState::kWaiting;
    std::uint64_t fingerprint = 0;
    bool suspect = false;
    // Set if the request has an issued id and its record was begun.
    std::optional<RequestId> recorded_id;
    // Set once the state is kSent.
    ConnectionPool::Connection connection;
    BootTime sent_at;
    BootTime run_before;
    std::string sent_id;
    std::uint32_t attempts = 0;
  };

  // A result that is held back until the outcome of a lost connection is known.
  struct HeldResult {
    UpstreamCallback callback;
    UpstreamResult result;
    std::uint64_t fingerprint = 0;
    BootTime until;
  };

  LogOffset EpochOf(std::uint32_t shard) const;
  bool HasLease(BootTime now) const;
  // Returns the error if a request cannot be sent now, or nothing.
  std::optional<ErrorKind> FindRefusal(const UpstreamRequest& request,
                                       BootTime now) const;
  // Begins the record of an issued id. Returns false if it called the callback,
  // because the request must not run.
  bool BeginRecord(Item& item, BootTime now);
  void Admit(std::uint64_t ticket, const Item& item, BootTime now);
  void AdmitQueued(BootTime now);
  void SendReady();
  void Send(std::uint64_t ticket, const ConnectionPool::Connection& connection);
  std::string ControlLines(const Item& item, BootTime now) const;
  // Stores the clock reading of a response, if it has one.
  void UpdateClock(const HttpResponse& response, BootTime now);
  // Whether the upstream accepted the fence and, if it checks run-before, its
  // clock reading is current.
  bool CanSend(BootTime now) const;
  void OnExchangeEnded(std::uint64_t ticket,
                       HttpClientConnection::ExchangeResult result);
  void HandleResponse(std::uint64_t ticket, Item& item, HttpResponse response);
  // Records that the upstream responded, which clears the mark of the
  // fingerprint.
  void RecordResponse(const Item& item, BootTime now);
  void OnDisconnected(std::uint64_t ticket, Item& item, ErrorKind error);

  // Ends a request and calls its callback. Its Item must not be used
  // afterwards.
  void EndRequest(std::uint64_t ticket,
                  UpstreamResult result,
                  SlotResult slot_result);
  void Refuse(std::uint64_t ticket, ErrorKind error);
  // Ends a request that was sent and has no response. With `hold`, holds
  // the result back.
  void Abandon(std::uint64_t ticket, ErrorKind error, bool hold);
  void FinishRecord(const Item& item, const UpstreamResult& result);
  void HoldResult(Item& item, ErrorKind error);
  void DeliverHeldResults(BootTime now, bool all);
  void RefuseWaiting(ErrorKind error);
  void CheckDeadlines(BootTime now);

  // A control request of the leader: a grant or a probe.
  struct ControlCall {
    bool active = false;
    // Identifies the call, in case its connection opens only after the next
    // call has started.
    std::uint64_t number = 0;
    BootTime sent_at;
    ConnectionPool::Connection connection;
  };
  // Called with the response, or with nothing if there was none.
  using ControlHandler = std::function<void(std::optional<HttpResponse>)>;

  void StartGrant(BootTime now);
  void EndGrant(bool accepted);
  void StartProbe(BootTime now);
  void EndProbe(bool succeeded);
  // Opens a connection for the call, if necessary in place of an idle one. Does
  // nothing if all connections are in use.
  void StartCall(ControlCall& call,
                 std::string request,
                 ControlHandler handler);
  void SendCall(ControlCall& call,
                const ConnectionPool::Connection& connection,
                std::string request,
                ControlHandler handler);
  // Cancels a call; its handler is not called.
  void CancelCall(ControlCall& call);
  void OnConnectionFailed();
  void OnReachable();
  void OnLost();
  // Notes whether the error proves that no process listens at the upstream.
  void RecordOpenError(boost::system::error_code error);
  // Call when the upstream has proved reachable.
  void ForgetLosses();
  // Marks the requests that were in flight, and reports them with the loss.
  void ReportCrash();
  void ReportDrains(BootTime now);

  const Context context_;
  const std::string name_;
  RoutingTablePointer table_;
  // Both point into table_.
  const RoutedService* service_ = nullptr;
  const RoutedUpstream* upstream_ = nullptr;
  std::uint32_t upstream_index_ = 0;
  std::shared_ptr<SharedLease> lease_;
  bool released_ = false;

  ConnectionPool pool_;
  Admission admission_;
  std::unique_ptr<RequestRecords> records_;
  ShardDrains drains_;
  UpstreamHealth health_;
  UpstreamClock clock_;
  LoadCounter load_;

  std::unordered_map<std::uint64_t, Item> items_;
  // Tickets that hold an admission slot and wait for the grant or a connection.
  std::deque<std::uint64_t> ready_;
  std::uint32_t opening_ = 0;
  std::vector<HeldResult> held_results_;
  // Fingerprints that were in flight on connections lost since the upstream was
  // last reachable; true if the request ran alone as a suspect.
  std::unordered_map<std::uint64_t, bool> lost_fingerprints_;
  // Whether a connection was refused since the upstream was last reachable.
  // Only this proves a crash: a probe also fails while the upstream is paused
  // or cut off, and for an error of this machine.
  bool connection_refused_ = false;

  bool granted_ = false;
  BootTime next_grant_;
  std::uint64_t control_sequence_ = 0;
  ControlCall grant_call_;
  ControlCall probe_call_;

  Counter& answered_;
  Counter& not_run_;
  Counter& unknown_;
  Counter& region_bytes_;
  DurationSummary& duration_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_LEADER_H_
