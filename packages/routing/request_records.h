// The leader's records of non-repeatable requests.

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

// Runs each request id at most once on one upstream. The leader of the
// upstream holds one object per upstream for as long as it is the leader:
//   RequestId id = records.Issue(shard, epoch, now);
//   BeginResult begin = records.Begin(id, current_epoch, now);
//   if (begin.kind == BeginResult::Kind::kRun) { send; then a Finish...(); }
// A record stays for the lifetime of its id. When the limits are reached, new
// ids are refused as not run, and records are never dropped early: a dropped
// record would let its request run again.
class RequestRecords {
 public:
  struct Options {
    // Ids older than this are refused, on the leader's boot clock.
    std::chrono::milliseconds lifetime{120000};
    std::size_t max_records = 65536;
    // Limits of the stored answers, headers and bodies together.
    std::size_t max_response_bytes = 16 << 20;
    std::size_t max_bytes_per_response = 64 << 10;
  };

  RequestRecords(std::string service,
                 std::string upstream,
                 const Options& options);

  // Issues an id. It takes no room until it is used.
  RequestId Issue(std::uint32_t shard, LogOffset epoch, BootTime now);

  // `epoch` is the current epoch of the id's shard at this leader.
  BeginResult Begin(const RequestId& id, LogOffset epoch, BootTime now);

  // Ends a run. kAnswered keeps `answer`; kNotRun forgets the run, so that a
  // repeat may run; kUnknown keeps `error`, an unknown kind, for repeats.
  // Ignored if the record has ended with its lifetime in the meantime.
  void FinishWithResponse(const RequestId& id,
                          StoredResponse answer,
                          BootTime now);
  void FinishNotRun(const RequestId& id, BootTime now);
  void FinishUnknown(const RequestId& id, ErrorKind error, BootTime now);

  // Drops the records whose ids have ended. Begin() does this as well; call it
  // now and then on an idle upstream.
  void RemoveExpired(BootTime now);

  std::size_t size() const { return records_.size(); }
  std::size_t answer_bytes() const { return answer_bytes_; }
  // Answers not kept because of their size or the limit of all answers.
  std::uint64_t responses_not_stored() const { return answers_not_kept_; }

 private:
  enum class State : std::uint8_t { kRunning, kAnswered, kUnknown };

  struct Record {
    std::chrono::milliseconds issued_at{0};
    LogOffset epoch = kNoOffset;
    std::uint32_t shard = 0;
    State state = State::kRunning;
    // The kind for repeats if `state` is kUnknown.
    ErrorKind error = ErrorKind::kInternal;
    std::shared_ptr<const StoredResponse> answer;
  };

  Record* FindRunning(const RequestId& id);
  bool IsEnded(std::chrono::milliseconds issued_at) const;
  // Returns the later of `now` and the latest time seen.
  BootTime Advance(BootTime now);
  static BeginResult RepeatOf(const Record& record);

  const std::string service_;
  const std::string upstream_;
  const Options options_;
  // By sequence. The clock never goes back, so this is also the order in which
  // the ids end.
  std::map<std::uint64_t, Record> records_;
  std::uint64_t next_sequence_ = 1;
  // The latest time given to any function. A thread with an older time must
  // not see an id as valid whose record has been dropped.
  BootTime latest_{};
  // Invariant: the sum of bytes() of all answers in records_.
  std::size_t answer_bytes_ = 0;
  std::uint64_t answers_not_kept_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_REQUEST_RECORDS_H_
