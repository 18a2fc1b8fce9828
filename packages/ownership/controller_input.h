// The inputs that drive Controller.

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

// A record as read from the log. `data` is its JSON text.
struct RawLogRecord {
  LogOffset offset = kNoOffset;
  std::string data;
};

// The result of a log read, from the log store or relayed by another instance.
// `proof_time`, on the clock of this instance, is at or before the start of the
// read: the result includes all records up to `next` that were appended before
// that time. `reached_end` is false if the read stopped at its size limit, in
// which case newer records may exist.
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

// The result of the AppendRecord with the same `record_id`. If `confirmed` is
// false, no answer arrived and the record may or may not be on the log.
struct AppendFinished {
  std::string record_id;
  bool confirmed = false;
  LogOffset offset = kNoOffset;
};

// The term of an upstream that a promise applies to.
struct PromisedTerm {
  std::string upstream;
  LogOffset term = kNoOffset;

  bool operator==(const PromisedTerm&) const = default;
};

// A leader asks this instance not to claim the listed terms for `duration`.
// While a change of voters is unresolved, the leader lists both the current
// term and the future one, the latter as kNoOffset.
struct PromiseRequested {
  std::uint64_t call_id = 0;
  std::string leader;
  std::chrono::nanoseconds duration{0};
  std::vector<PromisedTerm> terms;
};

// The answer of a voter. `requested_at` is the time, on the clock of this
// instance, when the request was passed to the transport. `answered` is false
// if no answer arrived.
struct PromiseAnswered {
  std::string voter;
  BootTime requested_at;
  bool answered = false;
  std::vector<PromisedTerm> granted;
  // The offset that the voter has applied. If it is ahead of this instance, the
  // log is read at once.
  LogOffset voter_offset = kNoOffset;
};

struct InstancesListed {
  std::vector<ListedInstance> instances;
};

// The state of an upstream that this instance leads, as observed by the
// upstream package.
struct UpstreamObserved {
  enum class State { kReachable, kSuspect, kLost };

  std::string upstream;
  State state = State::kReachable;
  // With kLost: the fingerprints of the requests in flight, if it is proved
  // that the upstream crashed.
  std::vector<std::uint64_t> suspect_fingerprints;
  // With kLost: these fingerprints, if it is not proved. `ran_alone` is true
  // for a suspect that ran in isolation.
  struct UnprovedCrash {
    std::uint64_t fingerprint = 0;
    bool ran_alone = false;
  };
  std::vector<UnprovedCrash> unproved_crashes{};
};

// A second upstream was lost while it ran only this suspect request.
struct FingerprintConfirmed {
  std::string service;
  std::uint64_t fingerprint = 0;
};

// The result of DrainShards: no request of its shards is in flight, and none
// starts until the shards are reopened. The id distinguishes it from the result
// of a canceled drain.
struct DrainFinished {
  std::uint64_t drain_id = 0;
  std::string upstream;
};

// The load of one shard during a report interval.
struct ShardLoad {
  std::uint32_t shard = 0;
  double requests_per_second = 0;
};

struct UpstreamLoad {
  std::string service;
  std::string upstream;
  double requests_per_second = 0;
  double in_flight = 0;
  // Only the busiest shards, at most 64.
  std::vector<ShardLoad> shards;
};

// Load reported by another leader or by the upstream package of this instance.
struct LoadReported {
  std::string from;
  std::vector<UpstreamLoad> upstreams;
};

// A planner advises moving shards of an upstream that this instance leads.
struct MoveAdvised {
  std::string upstream;
  std::vector<std::uint32_t> shards;
  std::string target;
};

// SIGTERM: hand over all terms and finish.
struct LeaveRequested {};

// Passed every 50 ms.
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
