// The calls to upstreams and the log appends that a GrantCoordinator requests.

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
  // Only for grants: how long the upstream may use the grant.
  std::chrono::nanoseconds grant_ttl{0};
  // The data that the former owner returned with its release; empty if there is
  // none.
  std::string handover;
  // The call must not be sent after this time, because the term may have ended.
  BootTime valid_until{};
};

// The outcome of a KeyCall.
enum class KeyCallResult {
  kDone,
  // The upstream has accepted a higher token and rejected the call.
  kFenced,
  // Another upstream responded at the address: the called incarnation has
  // ended.
  kReplaced,
  // The upstream responded with another error; nothing was granted.
  kRejected,
  // Nothing was sent: the connection was refused or could not be opened.
  kUnreachable,
  // Nothing was sent: GrantCoordinator::MaySend() did not allow it.
  kWithheld,
  // The call may have taken effect or may still do so.
  kUnknown,
};

// Records that are appended only if the log ends at offset `at`.
struct LogAppend {
  std::vector<GrantLogRecord> records;
  std::uint64_t at = 0;
};

// The outcome of a LogAppend.
enum class LogAppendResult {
  kDone,
  // The log does not end at `at`; nothing was appended.
  kConflict,
  // The log rejected the append or was not reached; nothing was appended.
  kRejected,
  // The append may have taken effect or may still do so.
  kUnknown,
};

// The calls and the append that the caller of GrantCoordinator::Poll() starts.
struct GrantActions {
  std::vector<KeyCall> calls;
  std::optional<LogAppend> append;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_ACTIONS_H_
