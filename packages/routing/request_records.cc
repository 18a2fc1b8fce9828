// State transitions and expiry of the request records.

#include "routing/request_records.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollenrudder {

namespace {

std::chrono::milliseconds Milliseconds(BootTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

}  // namespace

RequestRecords::RequestRecords(std::string service,
                               std::string upstream,
                               const Options& options)
    : service_(std::move(service)),
      upstream_(std::move(upstream)),
      options_(options) {
  assert(options.max_records > 0);
}

RequestId RequestRecords::Issue(std::uint32_t shard,
                                LogOffset epoch,
                                BootTime now) {
  RequestId id;
  id.service = service_;
  id.upstream = upstream_;
  id.shard = shard;
  id.epoch = epoch;
  id.issued_at = Milliseconds(AdvanceTime(now));
  id.sequence = next_sequence_++;
  return id;
}

BootTime RequestRecords::AdvanceTime(BootTime now) {
  latest_time_ = std::max(latest_time_, now);
  return latest_time_;
}

bool RequestRecords::IsExpired(std::chrono::milliseconds issued_at) const {
  return Milliseconds(latest_time_) - issued_at >= options_.lifetime;
}

BeginResult RequestRecords::ResultForRepeat(const Record& record) {
  switch (record.state) {
    case State::kRunning:
      return {BeginResult::Kind::kInProgress, ErrorKind::kUnknownInProgress,
              nullptr};
    case State::kAnswered:
      if (record.response) {
        return {BeginResult::Kind::kRepeatAnswered, ErrorKind::kInternal,
                record.response};
      }
      return {BeginResult::Kind::kRepeatUnknown,
              ErrorKind::kUnknownAnswerDamaged, nullptr};
    case State::kUnknown:
      break;
  }
  return {BeginResult::Kind::kRepeatUnknown, record.error, nullptr};
}

BeginResult RequestRecords::Begin(const RequestId& id,
                                  LogOffset epoch,
                                  BootTime now) {
  BeginResult invalid{BeginResult::Kind::kInvalid, ErrorKind::kInvalidRequestId,
                      nullptr};
  RemoveExpired(now);
  if (id.service != service_ || id.upstream != upstream_)
    return invalid;
  if (id.epoch != epoch || IsExpired(id.issued_at)) {
    return {BeginResult::Kind::kExpired, ErrorKind::kUnknownRequestIdExpired,
            nullptr};
  }
  if (id.sequence == 0 || id.sequence >= next_sequence_ ||
      id.issued_at > Milliseconds(latest_time_)) {
    return invalid;
  }
  const auto found = records_.find(id.sequence);
  if (found != records_.end()) {
    const Record& record = found->second;
    if (record.issued_at != id.issued_at || record.shard != id.shard ||
        record.epoch != id.epoch) {
      return invalid;
    }
    return ResultForRepeat(record);
  }
  if (records_.size() >= options_.max_records) {
    return {BeginResult::Kind::kFull, ErrorKind::kNotRunOverloaded, nullptr};
  }
  Record record;
  record.issued_at = id.issued_at;
  record.epoch = id.epoch;
  record.shard = id.shard;
  records_.emplace(id.sequence, std::move(record));
  return {BeginResult::Kind::kRun, ErrorKind::kInternal, nullptr};
}

RequestRecords::Record* RequestRecords::FindRunning(const RequestId& id) {
  const auto found = records_.find(id.sequence);
  if (found == records_.end() || found->second.state != State::kRunning ||
      found->second.issued_at != id.issued_at ||
      found->second.epoch != id.epoch) {
    return nullptr;
  }
  return &found->second;
}

void RequestRecords::FinishWithResponse(const RequestId& id,
                                        StoredResponse response,
                                        BootTime now) {
  RemoveExpired(now);
  Record* record = FindRunning(id);
  if (!record)
    return;
  record->state = State::kAnswered;
  const std::size_t bytes = response.bytes();
  if (bytes > options_.max_bytes_per_response ||
      response_bytes_ + bytes > options_.max_response_bytes) {
    ++responses_not_stored_;
    return;
  }
  response_bytes_ += bytes;
  record->response =
      std::make_shared<const StoredResponse>(std::move(response));
}

void RequestRecords::FinishNotRun(const RequestId& id, BootTime now) {
  RemoveExpired(now);
  if (FindRunning(id))
    records_.erase(id.sequence);
}

void RequestRecords::FinishUnknown(const RequestId& id,
                                   ErrorKind error,
                                   BootTime now) {
  assert(DescribeError(error).outcome == Outcome::kUnknown);
  RemoveExpired(now);
  Record* record = FindRunning(id);
  if (!record)
    return;
  record->state = State::kUnknown;
  record->error = error;
}

void RequestRecords::RemoveExpired(BootTime now) {
  AdvanceTime(now);
  while (!records_.empty() && IsExpired(records_.begin()->second.issued_at)) {
    const Record& first = records_.begin()->second;
    if (first.response)
      response_bytes_ -= first.response->bytes();
    records_.erase(records_.begin());
  }
}

}  // namespace pollenrudder
