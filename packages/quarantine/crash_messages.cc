// Messages about crashes as JSON datagrams.

#include "quarantine/crash_messages.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/json_text.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A malformed age or remaining time must not overflow the clock.
constexpr std::chrono::hours kMaxAge{1};

std::int64_t AgeOf(BootTime time, BootTime now) {
  return duration_cast<microseconds>(now - time).count();
}

BootTime ParseAge(const json::value& value, BootTime now) {
  const microseconds age(value.to_number<std::int64_t>());
  return now - std::clamp<microseconds>(age, microseconds(0), kMaxAge);
}

}  // namespace

std::string EncodeCrashMessage(const CrashMessage& message, BootTime now) {
  json::array reports;
  for (const CrashReport& report : message.reports) {
    reports.push_back(json::array{report.fingerprint, report.upstream.name,
                                  report.upstream.started_at.count(),
                                  AgeOf(report.sent_at, now),
                                  AgeOf(report.lost_at, now)});
  }
  return json::serialize(json::array{
      std::move(reports),
      json::array(message.answered.begin(), message.answered.end())});
}

std::optional<CrashMessage> ParseCrashMessage(std::string_view text,
                                              BootTime now) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    CrashMessage message;
    for (const json::value& encoded : value.as_array().at(0).as_array()) {
      const json::array& fields = encoded.as_array();
      CrashReport report;
      report.fingerprint = fields.at(0).to_number<std::uint64_t>();
      report.upstream = {JsonText(fields.at(1)),
                         milliseconds(fields.at(2).to_number<std::int64_t>())};
      report.sent_at = ParseAge(fields.at(3), now);
      report.lost_at = ParseAge(fields.at(4), now);
      message.reports.push_back(std::move(report));
    }
    for (const json::value& answered : value.as_array().at(1).as_array())
      message.answered.push_back(answered.to_number<std::uint64_t>());
    return message;
  } catch (const std::exception&) {
    // Boost.JSON throws for a malformed datagram.
    return std::nullopt;
  }
}

std::string EncodeQuarantineMessage(const QuarantineMessage& message) {
  json::array entries;
  for (const QuarantineMessage::Entry& entry : message.entries)
    entries.push_back(json::array{entry.fingerprint, entry.remaining.count()});
  return json::serialize(entries);
}

std::optional<QuarantineMessage> ParseQuarantineMessage(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    QuarantineMessage message;
    for (const json::value& encoded : value.as_array()) {
      const json::array& fields = encoded.as_array();
      const milliseconds remaining(fields.at(1).to_number<std::int64_t>());
      message.entries.push_back(
          {fields.at(0).to_number<std::uint64_t>(),
           std::clamp<milliseconds>(remaining, milliseconds(0), kMaxAge)});
    }
    return message;
  } catch (const std::exception&) {
    // Boost.JSON throws for a malformed datagram.
    return std::nullopt;
  }
}

}  // namespace pollenrudder
