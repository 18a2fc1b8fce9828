// The actions that Controller returns and the I/O threads perform.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_ACTION_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_ACTION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_event.h"
#include "base/log_field.h"
#include "base/log_offset.h"
#include "ownership/controller_input.h"
#include "routing/routing_table.h"

namespace pollenrudder {

// Append `data` to the log. AppendFinished reports the result.
struct AppendRecord {
  std::string record_id;
  std::string data;
};

// Ask a voter for promises. PromiseAnswered reports the result.
struct SendPromiseRequest {
  std::string voter;
  std::string peer_address;
  std::chrono::nanoseconds duration{0};
  std::vector<PromisedTerm> terms;
};

// Answer the PromiseRequested input that has the same call id.
struct SendPromiseResponse {
  std::uint64_t call_id = 0;
  std::vector<PromisedTerm> granted;
  LogOffset applied_offset = kNoOffset;
};

// Read the log from `from` immediately, directly from the log store and without
// waiting for new records. The long poll of the log reader continues in
// parallel.
struct ReadLogNow {
  LogOffset from = 1;
};

// Update the lease of an upstream that this instance leads. Until
// `valid_until`, the upstream package may send requests once the upstream has
// accepted a grant with `fence`. A time in the past ends the lease.
struct SetLease {
  std::string upstream;
  LogOffset fence = kNoOffset;
  BootTime valid_until;
};

// Accept no new requests for these shards (for all shards of the upstream if
// `whole_upstream`), wait until none is in flight, then report DrainFinished
// with the same id. For a lost upstream the wait ends when run_before has
// passed since the last send. A drained shard stays closed until a routing
// table gives it a newer epoch, a lease has a newer fence, or ResumeShards
// reopens it. Extending the lease does not reopen it.
struct DrainShards {
  std::uint64_t drain_id = 0;
  std::string upstream;
  std::vector<std::uint32_t> shards;
  bool whole_upstream = false;
  bool upstream_lost = false;
};

// Accept requests for drained shards again, because the move or handover was
// canceled. A drain that is still in progress ends without DrainFinished.
struct ResumeShards {
  std::string upstream;
  std::vector<std::uint32_t> shards;
  bool whole_upstream = false;
};

// Replace the routing table that all threads use.
struct PublishRoutingTable {
  RoutingTablePointer table;
};

// Mark fingerprints of a service as suspect or quarantined.
struct MarkFingerprints {
  std::string service;
  std::vector<std::uint64_t> suspects;
  std::vector<std::uint64_t> quarantined;
};

struct SendLoadReport {
  std::string planner;
  std::string peer_address;
  LoadReported report;
};

struct SendMoveAdvice {
  std::string leader;
  std::string peer_address;
  MoveAdvised advice;
};

// Write one structured log line.
struct EmitLogEvent {
  LogEvent event;
  std::vector<LogField> fields;
};

// All terms are handed over. The process may exit once the requests of its
// callers have finished.
struct LeaveFinished {};

using ControllerAction = std::variant<AppendRecord,
                                      SendPromiseRequest,
                                      SendPromiseResponse,
                                      ReadLogNow,
                                      SetLease,
                                      DrainShards,
                                      ResumeShards,
                                      PublishRoutingTable,
                                      MarkFingerprints,
                                      SendLoadReport,
                                      SendMoveAdvice,
                                      EmitLogEvent,
                                      LeaveFinished>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_ACTION_H_
