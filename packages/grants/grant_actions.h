// What the granting duty asks for.

#ifndef POLLENRUDDER_GRANTS_GRANT_ACTIONS_H_
#define POLLENRUDDER_GRANTS_GRANT_ACTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "grants/grant_log_record.h"
#include "grants/key_assignment.h"

namespace pollenrudder {

// A call to an upstream that grants or releases keys.
struct KeyCall {
  enum class Kind { kGrant, kRelease };

  Kind kind = Kind::kGrant;
  std::uint64_t id = 0;
  std::string service;
  UpstreamIncarnation upstream;
  std::string address;
  KeyRange keys;
  std::uint64_t token = 0;
  // For grants.
  std::chrono::nanoseconds grant_ttl{0};
  // What the former owner gave at its release; empty if there is nothing.
  std::string handover;
  // The call must not be sent after this: the term may have ended.
  BootTime valid_until{};
};

// How a KeyCall ended.
enum class KeyCallResult {
  kDone,
  // The upstream has seen a higher token.
  kFenced,
  // Another upstream answers at the address: the life that was meant has ended.
  kReplaced,
  // The upstream answered with another failure; nothing was granted.
  kRejected,
  // Nothing was sent: the connection was refused or could not be opened.
  kUnreachable,
  // It may have taken effect or may yet do so.
  kUnknown,
};

// Records to append if the log ends at `at`.
struct LogAppend {
  std::vector<GrantLogRecord> records;
  std::uint64_t at = 0;
};

// How an append ended.
enum class LogAppendResult {
  kDone,
  // The log does not end at `at`: nothing was appended.
  kConflict,
  // Nothing was done.
  kRejected,
  // It may have taken effect or may yet do so.
  kUnknown,
};

// The calls to start now.
struct GrantActions {
  std::vector<KeyCall> calls;
  std::optional<LogAppend> append;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_ACTIONS_H_
