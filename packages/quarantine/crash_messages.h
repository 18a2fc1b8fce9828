// The messages by which instances share what they know of requests that crash
// upstreams.

#ifndef POLLENRUDDER_QUARANTINE_CRASH_MESSAGES_H_
#define POLLENRUDDER_QUARANTINE_CRASH_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "quarantine/crash_report.h"

namespace pollenrudder {

// What an instance observed. Repeated, because datagrams may be lost.
struct CrashMessage {
  std::vector<CrashReport> reports;
  // Requests to which an upstream has responded after a crash.
  std::vector<std::uint64_t> answered;

  bool IsEmpty() const { return reports.empty() && answered.empty(); }
};

// The requests that are refused.
struct QuarantineMessage {
  struct Entry {
    std::uint64_t fingerprint = 0;
    // The remaining time of the quarantine.
    std::chrono::milliseconds remaining{0};
  };
  std::vector<Entry> entries;
};

// The message contains the age of its times at `now`, the time of sending.
std::string EncodeCrashMessage(const CrashMessage& message, BootTime now);
// Converts the ages to times before `now`, the time of arrival. Returns nothing
// for a malformed datagram.
std::optional<CrashMessage> ParseCrashMessage(std::string_view text,
                                              BootTime now);

std::string EncodeQuarantineMessage(const QuarantineMessage& message);
// Returns nothing for a malformed datagram.
std::optional<QuarantineMessage> ParseQuarantineMessage(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_QUARANTINE_CRASH_MESSAGES_H_
