// The closed set of events that drive Controller.

#ifndef POLLENRUDDER_OWNERSHIP_CONTROLLER_INPUT_H_
#define POLLENRUDDER_OWNERSHIP_CONTROLLER_INPUT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/boot_clock.h"
#include "base/log_offset.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// A record as read from the log; `data` is the JSON text.
struct RawLogRecord {
  LogOffset offset = kNoOffset;
  std::string data;
};

// An answer of the log, direct or relayed. `proof_time` is a moment on this
// instance's clock at or before the start of the read: all records appended
// before it are included up to `next`. `reached_end` is false when the answer
// was cut off by its limit, so that it proves nothing about newer records.
struct LogRecordsRead {
  LogOffset first_retained = kNoOffset;
  LogOffset next = 1;
  std::vector<RawLogRecord> records;
  BootTime proof_time;
  bool reached_end = true;
};

struct LogReadFailed {
  std::string message;
};

// The answer to AppendRecord with the same `record_id`. `confirmed` is false if
// no answer came: the record may or may not be on the log.
struct AppendFinished {
  std::string record_id;
  bool confirmed = false;
  LogOffset offset = kNoOffset;
};

// The term of an upstream that a promise is about.
struct PromisedTerm {
  std::string upstream;
  LogOffset term = kNoOffset;

  bool operator==(const PromisedTerm&) const = default;
};

// A leader asks this instance not to claim the listed terms for `duration`.
// While a change of voters is unresolved the leader lists both the current
// term and, as kNoOffset, the future one.
struct PromiseRequested {
  std::uint64_t call_id = 0;
  std::string leader;
  std::chrono::nanoseconds duration{0};
  std::vector<PromisedTerm> terms;
};

// The answer of a voter. `asked_at` is when the request was handed to the
// transport, on this instance's clock. A request without an answer is
// reported with `answered` false.
struct PromiseAnswered {
  std::string voter;
  BootTime asked_at;
  bool answered = false;
  std::vector<PromisedTerm> granted;
  // The offset the voter has applied; a hint to read the log now.
  LogOffset voter_offset = kNoOffset;
};

struct InstancesListed {
  std::vector<ListedInstance> instances;
};

// What the upstream package sees of an upstream that this instance leads.
struct UpstreamObserved {
  enum class State { kReachable, kSuspect, kLost };

  std::string upstream;
  State state = State::kReachable;
  // With kLost: fingerprints of the requests that were in flight.
  std::vector<std::uint64_t> suspect_fingerprints;
};

// A second upstream was lost while running this suspect alone.
struct FingerprintConfirmed {
  std::string service;
  std::uint64_t fingerprint = 0;
};

// The answer to DrainShards: no request of its shards is in flight, and none
// starts until they are open again. The id tells it from the answer to a drain
// that was given up.
struct DrainFinished {
  std::uint64_t drain_id = 0;
  std::string upstream;
};

// Load of one upstream in a report interval.
struct ShardLoad {
  std::uint32_t shard = 0;
  double requests_per_second = 0;
};

struct UpstreamLoad {
  std::string service;
  std::string upstream;
  double requests_per_second = 0;
  double in_flight = 0;
  // The busiest shards only, at most 64.
  std::vector<ShardLoad> shards;
};

// From another leader, or from this instance's own upstream package.
struct LoadReported {
  std::string from;
  std::vector<UpstreamLoad> upstreams;
};

// A planner advises moves of shards of an upstream led by this instance.
struct MoveAdvised {
  std::string upstream;
  std::vector<std::uint32_t> shards;
  std::string target;
};

// SIGTERM: hand over everything and finish.
struct LeaveRequested {};

// Sent every 50 ms.
struct Tick {};

using ControllerInput = std::variant<LogRecordsRead,
                                     LogReadFailed,
                                     AppendFinished,
                                     PromiseRequested,
                                     PromiseAnswered,
                                     InstancesListed,
                                     UpstreamObserved,
                                     FingerprintConfirmed,
                                     DrainFinished,
                                     LoadReported,
                                     MoveAdvised,
                                     LeaveRequested,
                                     Tick>;

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_CONTROLLER_INPUT_H_
