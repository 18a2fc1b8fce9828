// Reads the log over HTTP and applies the records with LogReplay.

#include "pollenrudderctl/log_session.h"

#include <boost/json.hpp>

#include <utility>

#include "operators/http_client.h"
#include "ownership/log_replay.h"
#include "ownership/ownership_table.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

constexpr int kRecordsPerRead = 500;

Error MalformedResponseError(const std::string& address) {
  return MakeError(ErrorKind::kLogUnavailable,
                   "the log at " + address + " sent a malformed answer");
}

// Throws boost::system::system_error if a field is missing or has another type.
LogRecordsRead ParseRecords(const std::string& body) {
  const json::value response = json::parse(body);
  LogRecordsRead read;
  read.first_retained = response.at("first").to_number<LogOffset>();
  read.next = response.at("next").to_number<LogOffset>();
  for (const json::value& record : response.at("records").as_array()) {
    read.records.push_back({record.at("offset").to_number<LogOffset>(),
                            json::value_to<std::string>(record.at("data"))});
  }
  read.reached_end =
      read.records.empty() || read.records.back().offset + 1 >= read.next;
  return read;
}

}  // namespace

class LogSession::Replay {
 public:
  LogReplay& log() { return log_; }

 private:
  LogReplay log_{LeaseDurations{}};
};

LogSession::LogSession(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address)),
      timeout_(timeout),
      replay_(std::make_unique<Replay>()) {}

LogSession::~LogSession() = default;

Result<std::unique_ptr<LogSession>> LogSession::Open(
    std::string address,
    std::chrono::milliseconds timeout) {
  if (address.empty())
    return MakeError(ErrorKind::kInvalidSettings, "--log is missing");
  std::unique_ptr<LogSession> session(
      new LogSession(std::move(address), timeout));
  BOOST_OUTCOME_TRYV(session->ReadToEnd());
  return session;
}

Result<void> LogSession::ReadToEnd() {
  LogReplay& log = replay_->log();
  while (true) {
    const BootTime requested_at = BootClock::now();
    const std::string target =
        "/v1/records?from=" + std::to_string(log.next_offset()) +
        "&limit=" + std::to_string(kRecordsPerRead) + "&wait_ms=0";
    BOOST_OUTCOME_TRY(const HttpClientResponse response,
                      SendHttpRequest(address_, target, "", timeout_));
    if (response.http_status != 200)
      return MakeError(
          ErrorKind::kLogUnavailable,
          "the log answered " + std::to_string(response.http_status));
    LogRecordsRead read;
    try {
      read = ParseRecords(response.body);
    } catch (const std::exception&) {
      return MalformedResponseError(address_);
    }
    read.proof_time = requested_at;
    const auto outcome = log.OnLogRead(read, BootClock::now());
    if (outcome.error)
      return *outcome.error;
    for (const AppliedRecord& applied : outcome.records) {
      if (!applied.record)
        continue;
      writers_[applied.offset] = applied.record->by;
      // An append that was retried may be on the log twice: the first copy that
      // applied determines the outcome.
      RecordOutcome& seen = record_outcomes_[applied.record->id];
      if (!seen.applied)
        seen = {applied.offset,
                applied.effect == AppliedRecord::Effect::kApplied,
                applied.reason};
    }
    if (read.reached_end && !outcome.read_again)
      return boost::outcome_v2::success();
  }
}

Result<LogOffset> LogSession::Append(const std::string& data) {
  const std::string body = json::serialize(json::object{{"data", data}});
  BOOST_OUTCOME_TRY(const HttpClientResponse response,
                    SendHttpRequest(address_, "/v1/append", body, timeout_));
  if (response.http_status != 200)
    return MakeError(
        ErrorKind::kLogUnavailable,
        "the log answered " + std::to_string(response.http_status));
  try {
    return json::parse(response.body).at("offset").to_number<LogOffset>();
  } catch (const std::exception&) {
    return MalformedResponseError(address_);
  }
}

const OwnershipTable& LogSession::table() const {
  return replay_->log().table();
}

const LogSession::RecordOutcome* LogSession::FindRecord(
    const std::string& id) const {
  const auto found = record_outcomes_.find(id);
  return found == record_outcomes_.end() ? nullptr : &found->second;
}

std::string LogSession::WriterOf(LogOffset offset) const {
  const auto found = writers_.find(offset);
  return found == writers_.end() ? std::string() : found->second;
}

}  // namespace pollenrudder
