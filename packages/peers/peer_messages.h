// Parameters and results of the control messages, as JSON text.

#ifndef POLLENRUDDER_PEERS_PEER_MESSAGES_H_
#define POLLENRUDDER_PEERS_PEER_MESSAGES_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

inline constexpr const char* kPromiseMethod = "promise.request";
inline constexpr const char* kTailMethod = "log.tail";
inline constexpr const char* kSnapshotMethod = "table.snapshot";
inline constexpr const char* kLoadMethod = "load.report";
inline constexpr const char* kMoveMethod = "move.request";

// Maximum size of a request, which is one line. A promise request for 1,000
// upstreams takes about 30 KB.
inline constexpr std::size_t kMaxRequestBytes = 64u << 10;
// Maximum size of a response. The largest is a snapshot at the planned
// capacity.
inline constexpr std::size_t kMaxResponseBytes = 64u << 20;

// Field names are single letters: promises are exchanged four times a second
// with up to five voters, and control traffic may use at most 10 KB/s per
// daemon.

// Messages of promise.request. A result that grants all requested terms lists
// none; otherwise it lists the indexes of the granted terms in the request.
std::string FormatPromiseParameters(const std::string& leader,
                                    const SendPromiseRequest& action);
Result<PromiseRequested> ParsePromiseParameters(std::string_view text);
std::string FormatPromiseResult(const std::vector<PromisedTerm>& requested,
                                const SendPromiseResponse& action);
// Sets `granted` and `voter_offset` of `answered`.
Result<void> ParsePromiseResult(std::string_view text,
                                const std::vector<PromisedTerm>& requested,
                                PromiseAnswered& answered);

// Messages of log.tail.
struct TailParameters {
  LogOffset from = 1;
  std::chrono::milliseconds wait{0};
};
std::string FormatTailParameters(const TailParameters& parameters);
Result<TailParameters> ParseTailParameters(std::string_view text);
// The result contains the age of the read: `now` minus the proof time of
// `read`.
std::string FormatTailResult(const LogRecordsRead& read, BootTime now);
// The proof time becomes `requested_at` minus the age, with drift margin.
Result<LogRecordsRead> ParseTailResult(std::string_view text,
                                       BootTime requested_at);

// Messages of table.snapshot, load.report and move.request. The last two have
// an empty result.
std::string FormatSnapshotResult(const std::vector<std::string>& parts);
Result<std::vector<std::string>> ParseSnapshotResult(std::string_view text);
std::string FormatLoadParameters(const LoadReported& report);
Result<LoadReported> ParseLoadParameters(std::string_view text);
std::string FormatMoveParameters(const MoveAdvised& advice);
Result<MoveAdvised> ParseMoveParameters(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_PEER_MESSAGES_H_
