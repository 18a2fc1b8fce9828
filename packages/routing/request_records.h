// Deduplication of non-repeatable requests at the leader of an upstream.

#ifndef POLLENRUDDER_ROUTING_REQUEST_RECORDS_H_
#define POLLENRUDDER_ROUTING_REQUEST_RECORDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "base/log_offset.h"
#include "routing/begin_result.h"
#include "routing/request_id.h"
#include "routing/stored_response.h"

namespace pollenrudder {

// Ensures that each request id runs at most once on one upstream. The leader of
// the upstream keeps one object per upstream for as long as it is the leader:
//   RequestId id = records.Issue(shard, epoch, now);
//   BeginResult result = records.Begin(id, current_epoch, now);
//   if (result.kind == BeginResult::Kind::kRun) { send; then a Finish...(); }
// A record is kept for the lifetime of its id. When the limits are reached,
// requests with new ids are refused as not run. Records are never removed
// early, since a request without its record could run again.
class RequestRecords {
 public:
  struct Options {
    // Ids older than this on the leader's boot clock are refused.
    std::chrono::milliseconds lifetime{120000};
    std::size_t max_records = 65536;
    // Limits of the stored responses; headers and bodies are counted together.
    std::size_t max_response_bytes = 16 << 20;
    std::size_t max_bytes_per_response = 64 << 10;
  };

  RequestRecords(std::string service,
                 std::string upstream,
                 const Options& options);

  // Issues an id. It uses no memory until Begin() is called with it.
  RequestId Issue(std::uint32_t shard, LogOffset epoch, BootTime now);

  // `epoch` is the current epoch of the id's shard at this leader.
  BeginResult Begin(const RequestId& id, LogOffset epoch, BootTime now);

  // End a run. FinishWithResponse() keeps `response` for repeats;
  // FinishNotRun() removes the record, so that a repeat may run;
  // FinishUnknown() keeps `error`, which must be an error with an unknown
  // outcome, for repeats. Ignored if the record has expired in the meantime.
  void FinishWithResponse(const RequestId& id,
                          StoredResponse response,
                          BootTime now);
  void FinishNotRun(const RequestId& id, BootTime now);
  void FinishUnknown(const RequestId& id, ErrorKind error, BootTime now);

  // Removes expired records. Begin() and the Finish functions do this as well;
  // call it periodically on an idle upstream.
  void RemoveExpired(BootTime now);

  std::size_t size() const { return records_.size(); }
  std::size_t response_bytes() const { return response_bytes_; }
  // Responses that were not stored because of their size or the limit of all
  // responses.
  std::uint64_t responses_not_stored() const { return responses_not_stored_; }

 private:
  enum class State : std::uint8_t { kRunning, kAnswered, kUnknown };

  struct Record {
    std::chrono::milliseconds issued_at{0};
    LogOffset epoch = kNoOffset;
    std::uint32_t shard = 0;
    State state = State::kRunning;
    // The error for repeats if `state` is kUnknown.
    ErrorKind error = ErrorKind::kInternal;
    std::shared_ptr<const StoredResponse> response;
  };

  Record* FindRunning(const RequestId& id);
  bool IsExpired(std::chrono::milliseconds issued_at) const;
  // Advances latest_time_ to `now` if that is later, and returns it.
  BootTime AdvanceTime(BootTime now);
  static BeginResult ResultForRepeat(const Record& record);

  const std::string service_;
  const std::string upstream_;
  const Options options_;
  // By sequence. Times only increase, so this is also the order in which the
  // ids expire.
  std::map<std::uint64_t, Record> records_;
  std::uint64_t next_sequence_ = 1;
  // The latest time passed to any function. A thread with an earlier time must
  // not treat an id as valid whose record was already removed.
  BootTime latest_time_{};
  // Invariant: the sum of bytes() of all responses in records_.
  std::size_t response_bytes_ = 0;
  std::uint64_t responses_not_stored_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_REQUEST_RECORDS_H_
