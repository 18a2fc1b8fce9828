// The closed set of actions that Controller asks of the I/O threads.

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

// Append `data` to the log; answered by AppendFinished.
struct AppendRecord {
  std::string record_id;
  std::string data;
};

// Ask a voter for promises; answered by PromiseAnswered.
struct SendPromiseRequest {
  std::string voter;
  std::string peer_address;
  std::chrono::nanoseconds duration{0};
  std::vector<PromisedTerm> terms;
};

// The answer to PromiseRequested with the same call id.
struct AnswerPromise {
  std::uint64_t call_id = 0;
  std::vector<PromisedTerm> granted;
  LogOffset applied_offset = kNoOffset;
};

// Read the log from `from` at once, from the log itself, without waiting for
// new records. The long poll of the log reader goes on beside it.
struct ReadLogNow {
  LogOffset from = 1;
};

// The lease of an upstream that this instance leads. Until `valid_until` the
// upstream package may send, after it has once sent a grant with `fence` that
// the upstream accepted. A lease with a time in the past ends sending.
struct SetLease {
  std::string upstream;
  LogOffset fence = kNoOffset;
  BootTime valid_until;
};

// Accept no new request for these shards (all of the upstream if `whole`), wait
// until none is in flight, then answer DrainFinished with the same id. On a
// lost upstream the wait ends once run_before has passed since the last send.
// A drained shard stays closed until a routing table gives it a newer epoch, a
// lease has a newer fence, or ResumeShards; a longer lease doesn't open it.
struct DrainShards {
  std::uint64_t drain_id = 0;
  std::string upstream;
  std::vector<std::uint32_t> shards;
  bool whole_upstream = false;
  bool upstream_lost = false;
};

// Accept requests for drained shards again: the move or handover was given up.
// A drain that is not finished yet ends without DrainFinished.
struct ResumeShards {
  std::string upstream;
  std::vector<std::uint32_t> shards;
  bool whole_upstream = false;
};

// Make this table the one that all threads use.
struct PublishRoutingTable {
  RoutingTablePointer table;
};

// Mark fingerprints as suspect or as quarantined for a service.
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

// Write one log line.
struct EmitLogEvent {
  LogEvent event;
  std::vector<LogField> fields;
};

// All terms are handed over: the process may end once its callers' requests
// have finished.
struct LeaveFinished {};

using ControllerAction = std::variant<AppendRecord,
                                      SendPromiseRequest,
                                      AnswerPromise,
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
