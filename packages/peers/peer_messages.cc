// Formats and parses the control messages with Boost.JSON.

#include "peers/peer_messages.h"

#include <cmath>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace pollenrudder {
namespace {

namespace json = boost::json;

using std::chrono::ceil;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxPromiseMilliseconds = 60000;
constexpr std::int64_t kMaxTailWaitMilliseconds = 10000;
// Margin for the maximum clock drift: the clocks of two instances may differ in
// rate by 1%.
constexpr double kClockDriftFactor = 1.01;

Error Malformed(const char* what) {
  return MakeError(ErrorKind::kPeerProtocol,
                   std::string("malformed message: ") + what);
}

// Reads the fields of one message. The first error makes the message invalid;
// check valid() after the last read.
class FieldReader {
 public:
  explicit FieldReader(std::string_view text) {
    json::error_code error;
    value_ = json::parse(text, error);
    valid_ = !error && value_.is_object();
  }

  bool valid() const { return valid_; }
  bool Has(std::string_view name) const {
    return valid_ && value_.get_object().contains(name);
  }
  std::string Text(std::string_view name) {
    const json::value* const value = Find(name);
    return value ? TextOf(*value) : std::string();
  }
  template <typename Number>
  Number Integer(std::string_view name) {
    const json::value* const value = Find(name);
    return value ? IntegerOf<Number>(*value) : Number();
  }
  const json::array& Array(std::string_view name) {
    const json::value* const value = Find(name);
    return value ? ArrayOf(*value) : empty_;
  }

  std::string TextOf(const json::value& value) {
    if (Check(value.is_string()))
      return std::string(value.get_string());
    return {};
  }
  template <typename Number>
  Number IntegerOf(const json::value& value) {
    json::error_code error;
    const auto number = value.to_number<Number>(error);
    return Check(!error) ? number : Number();
  }
  double RealOf(const json::value& value) {
    json::error_code error;
    const auto number = value.to_number<double>(error);
    return Check(!error && std::isfinite(number)) ? number : 0.0;
  }
  const json::array& ArrayOf(const json::value& value) {
    return Check(value.is_array()) ? value.get_array() : empty_;
  }
  bool Check(bool condition) {
    valid_ = valid_ && condition;
    return condition;
  }

 private:
  const json::value* Find(std::string_view name) {
    if (!valid_)
      return nullptr;
    const json::value* const value = value_.get_object().if_contains(name);
    Check(value != nullptr);
    return value;
  }

  json::value value_;
  bool valid_ = false;
  const json::array empty_;
};

}  // namespace

std::string FormatPromiseParameters(const std::string& leader,
                                    const SendPromiseRequest& action) {
  json::array terms;
  for (const PromisedTerm& term : action.terms) {
    terms.emplace_back(term.upstream);
    terms.emplace_back(term.term);
  }
  // Rounded up: the voter must keep its promise for at least as long as the
  // leader relies on it.
  return json::serialize(
      json::object{{"l", leader},
                   {"d", ceil<milliseconds>(action.duration).count()},
                   {"t", std::move(terms)}});
}

Result<PromiseRequested> ParsePromiseParameters(std::string_view text) {
  FieldReader reader(text);
  PromiseRequested request;
  request.leader = reader.Text("l");
  const auto duration = reader.Integer<std::int64_t>("d");
  reader.Check(duration >= 0 && duration <= kMaxPromiseMilliseconds);
  request.duration = milliseconds(duration);
  const json::array& terms = reader.Array("t");
  reader.Check(terms.size() % 2 == 0);
  for (std::size_t index = 0; reader.valid() && index < terms.size();
       index += 2) {
    request.terms.push_back({reader.TextOf(terms[index]),
                             reader.IntegerOf<LogOffset>(terms[index + 1])});
  }
  if (!reader.valid())
    return Malformed("promise parameters");
  return request;
}

std::string FormatPromiseResult(const std::vector<PromisedTerm>& requested,
                                const SendPromiseResponse& action) {
  json::object result{{"o", action.applied_offset}};
  if (action.granted == requested)
    return json::serialize(result);
  json::array positions;
  for (std::size_t index = 0; index < requested.size(); ++index) {
    for (const PromisedTerm& granted : action.granted) {
      if (granted == requested[index]) {
        positions.emplace_back(index);
        break;
      }
    }
  }
  result["g"] = std::move(positions);
  return json::serialize(result);
}

Result<void> ParsePromiseResult(std::string_view text,
                                const std::vector<PromisedTerm>& requested,
                                PromiseAnswered& answered) {
  FieldReader reader(text);
  answered.voter_offset = reader.Integer<LogOffset>("o");
  std::vector<PromisedTerm> granted;
  if (reader.Has("g")) {
    for (const json::value& value : reader.Array("g")) {
      const auto index = reader.IntegerOf<std::size_t>(value);
      if (!reader.Check(index < requested.size()))
        break;
      granted.push_back(requested[index]);
    }
  } else {
    granted = requested;
  }
  if (!reader.valid())
    return Malformed("promise result");
  answered.granted = std::move(granted);
  return boost::outcome_v2::success();
}

std::string FormatTailParameters(const TailParameters& parameters) {
  return json::serialize(
      json::object{{"f", parameters.from}, {"w", parameters.wait.count()}});
}

Result<TailParameters> ParseTailParameters(std::string_view text) {
  FieldReader reader(text);
  TailParameters parameters;
  parameters.from = reader.Integer<LogOffset>("f");
  const auto wait = reader.Integer<std::int64_t>("w");
  if (!reader.Check(wait >= 0 && wait <= kMaxTailWaitMilliseconds) ||
      !reader.valid())
    return Malformed("tail parameters");
  parameters.wait = milliseconds(wait);
  return parameters;
}

std::string FormatTailResult(const LogRecordsRead& read, BootTime now) {
  json::object result{{"n", read.next},
                      {"p", read.first_retained},
                      {"a", ceil<microseconds>(now - read.proof_time).count()}};
  if (!read.reached_end)
    result["m"] = 1;
  if (!read.records.empty()) {
    json::array records;
    for (const RawLogRecord& record : read.records)
      records.emplace_back(record.data);
    result["r"] = std::move(records);
  }
  return json::serialize(result);
}

Result<LogRecordsRead> ParseTailResult(std::string_view text,
                                       BootTime requested_at) {
  FieldReader reader(text);
  LogRecordsRead read;
  read.next = reader.Integer<LogOffset>("n");
  read.first_retained = reader.Integer<LogOffset>("p");
  const auto age = reader.Integer<std::int64_t>("a");
  reader.Check(age >= 0);
  read.proof_time =
      requested_at -
      ceil<std::chrono::nanoseconds>(std::chrono::duration<double, std::micro>(
          static_cast<double>(age) * kClockDriftFactor));
  read.reached_end = !reader.Has("m");
  if (reader.Has("r")) {
    const json::array& records = reader.Array("r");
    reader.Check(records.size() < read.next);
    LogOffset offset = read.next - records.size();
    for (const json::value& record : records)
      read.records.push_back({offset++, reader.TextOf(record)});
  }
  if (!reader.valid())
    return Malformed("tail result");
  return read;
}

std::string FormatSnapshotResult(const std::vector<std::string>& parts) {
  json::array values;
  for (const std::string& part : parts)
    values.emplace_back(part);
  return json::serialize(json::object{{"p", std::move(values)}});
}

Result<std::vector<std::string>> ParseSnapshotResult(std::string_view text) {
  FieldReader reader(text);
  std::vector<std::string> parts;
  for (const json::value& part : reader.Array("p"))
    parts.push_back(reader.TextOf(part));
  if (!reader.valid())
    return Malformed("snapshot result");
  return parts;
}

std::string FormatLoadParameters(const LoadReported& report) {
  // Loads are estimates, so they are rounded to one decimal place to keep the
  // message small.
  const auto rounded = [](double value) {
    return std::round(value * 10.0) / 10.0;
  };
  json::array upstreams;
  for (const UpstreamLoad& load : report.upstreams) {
    json::array shards;
    for (const ShardLoad& shard : load.shards) {
      shards.emplace_back(shard.shard);
      shards.emplace_back(rounded(shard.requests_per_second));
    }
    upstreams.push_back(json::array{
        load.service, load.upstream, rounded(load.requests_per_second),
        rounded(load.in_flight), std::move(shards)});
  }
  return json::serialize(
      json::object{{"i", report.from}, {"u", std::move(upstreams)}});
}

Result<LoadReported> ParseLoadParameters(std::string_view text) {
  constexpr std::size_t kUpstreamFields = 5;
  FieldReader reader(text);
  LoadReported report;
  report.from = reader.Text("i");
  for (const json::value& value : reader.Array("u")) {
    const json::array& fields = reader.ArrayOf(value);
    if (!reader.Check(fields.size() == kUpstreamFields))
      break;
    UpstreamLoad load;
    load.service = reader.TextOf(fields[0]);
    load.upstream = reader.TextOf(fields[1]);
    load.requests_per_second = reader.RealOf(fields[2]);
    load.in_flight = reader.RealOf(fields[3]);
    const json::array& shards = reader.ArrayOf(fields[4]);
    reader.Check(shards.size() % 2 == 0);
    for (std::size_t index = 0; reader.valid() && index < shards.size();
         index += 2) {
      load.shards.push_back({reader.IntegerOf<std::uint32_t>(shards[index]),
                             reader.RealOf(shards[index + 1])});
    }
    report.upstreams.push_back(std::move(load));
  }
  if (!reader.valid())
    return Malformed("load parameters");
  return report;
}

std::string FormatMoveParameters(const MoveAdvised& advice) {
  json::array shards;
  for (const std::uint32_t shard : advice.shards)
    shards.emplace_back(shard);
  return json::serialize(json::object{
      {"u", advice.upstream}, {"s", std::move(shards)}, {"t", advice.target}});
}

Result<MoveAdvised> ParseMoveParameters(std::string_view text) {
  FieldReader reader(text);
  MoveAdvised advice;
  advice.upstream = reader.Text("u");
  advice.target = reader.Text("t");
  for (const json::value& shard : reader.Array("s"))
    advice.shards.push_back(reader.IntegerOf<std::uint32_t>(shard));
  if (!reader.valid())
    return Malformed("move parameters");
  return advice;
}

}  // namespace pollenrudder
