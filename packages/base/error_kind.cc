// The table from error kind to response.

#include "base/error_kind.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace pollenrudder {
namespace {

using enum ErrorKind;
using enum Outcome;

constexpr auto kErrorRows = std::to_array<ErrorDescription>({
    {kMalformedRequest, "malformed_request", 400, kNotRun},
    {kMissingKey, "missing_key", 400, kNotRun},
    {kInvalidRequestId, "invalid_request_id", 400, kNotRun},
    {kUnknownService, "unknown_service", 404, kNotRun},
    {kBodyTooLarge, "body_too_large", 413, kNotRun},
    {kHeaderTooLarge, "header_too_large", 431, kNotRun},
    {kRequestTimeout, "request_timeout", 408, kNotRun},
    {kNotRunOverloaded, "not_run_overloaded", 503, kNotRun},
    {kNotRunNoOwner, "not_run_no_owner", 503, kNotRun},
    {kNotRunMoved, "not_run_moved", 503, kNotRun},
    {kNotRunNoLease, "not_run_no_lease", 503, kNotRun},
    {kNotRunUnreachable, "not_run_unreachable", 503, kNotRun},
    {kNotRunShuttingDown, "not_run_shutting_down", 503, kNotRun},
    {kNotRunDeadline, "not_run_deadline", 504, kNotRun},
    {kNotRunQuarantined, "not_run_quarantined", 422, kNotRun},
    {kNotRunCrashesUpstreams, "not_run_crashes_upstreams", 503, kNotRun},
    {kNotRunFenced, "not_run_fenced", 503, kNotRun},
    {kNotRunNoConfiguration, "not_run_no_configuration", 503, kNotRun},
    {kUnknownUpstreamLost, "unknown_upstream_lost", 502, kUnknown},
    {kUnknownAnswerDamaged, "unknown_answer_damaged", 502, kUnknown},
    {kUnknownDeadline, "unknown_deadline", 504, kUnknown},
    {kUnknownRequestIdExpired, "unknown_request_id_expired", 409, kUnknown},
    {kUnknownInProgress, "unknown_in_progress", 409, kUnknown},
    {kInvalidDocument, "invalid_document", 500, kNotRun},
    {kInvalidSettings, "invalid_settings", 500, kNotRun},
    {kConflict, "conflict", 500, kNotRun},
    {kLogUnavailable, "log_unavailable", 500, kNotRun},
    {kLogRegressed, "log_regressed", 500, kNotRun},
    {kUnsupportedRecord, "unsupported_record", 500, kNotRun},
    {kPeerProtocol, "peer_protocol", 500, kNotRun},
    {kInternal, "internal", 500, kNotRun},
});

}  // namespace

const ErrorDescription& DescribeError(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kErrorRows.size() && kErrorRows[index].kind == kind);
  return kErrorRows[index];
}

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (const ErrorDescription& row : kErrorRows) {
    if (row.name == name)
      return row.kind;
  }
  return std::nullopt;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case kAnswered:
      return "answered";
    case kNotRun:
      return "not-run";
    case kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace pollenrudder
