// The requests, connections and grants of one upstream at its leader.

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
#include "routing/admission.h"
#include "routing/quarantine.h"
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

// Sends requests to one upstream for as long as this instance leads it. A
// request passes these checks in order: epoch, drain, lease, quarantine,
// repeat, admission; then it waits for the grant and a connection. Epoch,
// drain, lease and deadline are checked again directly before it is sent.
//
// The answer to a request whose connection was lost is held back until the
// upstream is proved reachable or the marks of its fingerprint are in force:
// a caller that had the answer at once could send the request that crashed
// this upstream to the next one before anyone knows. Used on one thread.
// Related: UpstreamSender, which owns the objects of this class.
class UpstreamLeader final : public ConnectionPool::Listener {
 public:
  // The most time an upstream may take to start a request.
  static constexpr std::chrono::milliseconds kRunBefore{400};

  struct Context {
    Quarantine& quarantine;
    UpstreamListener& listener;
    Metrics& metrics;
    ConnectionPool::StreamFactory stream_factory;
    // Starts the ids of requests that carry no issued id.
    std::string id_prefix;
    // Asks for Tick() to be called while needs_tick() is true.
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

  // `ticket` is unique at this instance; it names the request for Cancel().
  void Submit(std::uint64_t ticket,
              UpstreamRequest request,
              UpstreamCallback callback);
  // Returns false if the request has ended. Its callback is not called.
  bool Cancel(std::uint64_t ticket);
  IssuedIds Issue(std::optional<std::uint32_t> shard, std::uint32_t count);

  void Drain(const DrainShards& drain);
  void Resume(const ResumeShards& resume);
  // Precondition: `table` has the upstream.
  void SetTable(const RoutingTablePointer& table);
  // `lease` may be the one in use.
  void SetLease(const std::shared_ptr<SharedLease>& lease);
  // Marks of these fingerprints are in force.
  void OnFingerprintsMarked(const std::vector<std::uint64_t>& fingerprints);

  // Another instance leads the upstream: refuses what waits and closes the
  // connections when the requests in flight have ended.
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
    // Set if the request carries an issued id and its record was begun.
    std::optional<RequestId> recorded_id;
    // Set from kSent on.
    ConnectionPool::Connection connection;
    BootTime sent_at;
    BootTime run_before;
    std::string sent_id;
    std::uint32_t attempts = 0;
  };

  // An answer that waits for the outcome of a lost connection.
  struct HeldResult {
    UpstreamCallback callback;
    UpstreamAnswer result;
    std::uint64_t fingerprint = 0;
    BootTime until;
  };

  LogOffset EpochOf(std::uint32_t shard) const;
  bool HasLease(BootTime now) const;
  // Returns why a request can't be sent now, or nothing.
  std::optional<ErrorKind> FindRefusal(const UpstreamRequest& request,
                                       BootTime now) const;
  // Begins the record of an issued id. Returns false if it has answered.
  bool BeginRecord(Item& item, BootTime now);
  void Admit(std::uint64_t ticket, const Item& item, BootTime now);
  void AdmitQueued(BootTime now);
  void SendReady();
  void Send(std::uint64_t ticket, const ConnectionPool::Connection& connection);
  std::string FormatControlHeaders(const Item& item, BootTime now) const;
  // Takes the clock reading of an answer, if it has one.
  void UpdateClock(const HttpResponse& response, BootTime now);
  // Whether the upstream has the fence, and its clock is known if it checks
  // run-before.
  bool CanSend(BootTime now) const;
  void OnExchangeEnded(std::uint64_t ticket,
                       HttpClientConnection::ExchangeResult result);
  void HandleResponse(std::uint64_t ticket, Item& item, HttpResponse response);
  // An answer clears the suspicion of its fingerprint.
  void RecordResponse(const Item& item, BootTime now);
  void OnDisconnected(std::uint64_t ticket, Item& item, ErrorKind error);

  // Ends a request. The item must not be used afterwards.
  void EndRequest(std::uint64_t ticket,
                  UpstreamAnswer result,
                  SlotResult slot_result);
  void Refuse(std::uint64_t ticket, ErrorKind error);
  // Gives up a request that was sent, without an answer.
  void Abandon(std::uint64_t ticket, ErrorKind error, bool hold);
  void FinishRecord(const Item& item, const UpstreamAnswer& result);
  void HoldResult(Item& item, ErrorKind error);
  void DeliverHeldResults(BootTime now, bool all);
  void RefuseWaiting(ErrorKind error);
  void CheckDeadlines(BootTime now);

  // A message of the leader's own: a grant or a probe.
  struct ControlCall {
    bool active = false;
    // Tells a call from the next one, when its connection opens late.
    std::uint64_t number = 0;
    BootTime sent_at;
    ConnectionPool::Connection connection;
  };
  // The answer, or nothing if there was none.
  using ControlHandler = std::function<void(std::optional<HttpResponse>)>;

  void StartGrant(BootTime now);
  void EndGrant(bool accepted);
  void StartProbe(BootTime now);
  void EndProbe(bool answered);
  // Does nothing if no connection is free or can be opened.
  void StartCall(ControlCall& call,
                 bool new_connection,
                 std::string request,
                 ControlHandler handler);
  void SendCall(ControlCall& call,
                const ConnectionPool::Connection& connection,
                std::string request,
                ControlHandler handler);
  // Gives up a call; its handler is not called.
  void CancelCall(ControlCall& call);
  void OnConnectionFailed();
  void OnReachable();
  void OnLost();
  void ReportDrains(BootTime now);

  const Context context_;
  const std::string name_;
  RoutingTablePointer table_;
  // Point into table_.
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
  // Tickets that hold a slot and wait for the grant or a connection.
  std::deque<std::uint64_t> ready_;
  std::uint32_t opening_ = 0;
  std::vector<HeldResult> held_results_;
  // Fingerprints in flight on connections lost since the upstream was last
  // reachable; true if the request ran alone as a suspect.
  std::unordered_map<std::uint64_t, bool> lost_fingerprints_;

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
