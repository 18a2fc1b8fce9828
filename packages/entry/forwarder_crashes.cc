// Forwarder: requests under which upstreams crash.

#include "entry/crash_guard.h"
#include "entry/forwarder.h"
#include "quarantine/fingerprint.h"

namespace pollenrudder {
namespace {

using std::chrono::nanoseconds;

std::uint64_t FingerprintOf(ActiveRequest& request) {
  if (!request.fingerprint) {
    const HttpRequest& message = request.received->message;
    // Not the service, which a new configuration may change.
    request.fingerprint = RequestFingerprint(
        FindHeader(message.header_lines, "Host").value_or(""), message.method,
        message.target, message.body);
  }
  return *request.fingerprint;
}

}  // namespace

std::optional<nanoseconds> Forwarder::QuarantineLeft(ActiveRequest& request,
                                                     BootTime now) const {
  if (crash_guard_.IsEmpty())
    return std::nullopt;
  return crash_guard_.QuarantineLeft(FingerprintOf(request), now);
}

bool Forwarder::IsCrashSuspect(ActiveRequest& request, BootTime now) const {
  return !crash_guard_.IsEmpty() &&
         crash_guard_.IsSuspect(FingerprintOf(request), now);
}

std::optional<nanoseconds> Forwarder::CrashRefusalLeft(ActiveRequest& request,
                                                       BootTime now) {
  if (crash_guard_.IsEmpty())
    return std::nullopt;
  const std::uint64_t fingerprint = FingerprintOf(request);
  const auto quarantined = crash_guard_.QuarantineLeft(fingerprint, now);
  return quarantined ? quarantined : crash_guard_.HoldLeft(fingerprint, now);
}

void Forwarder::RecordCrashTrial(ActiveRequest& request, BootTime now) {
  if (!crash_guard_.IsEmpty())
    crash_guard_.OnSent(FingerprintOf(request), now);
}

bool Forwarder::ReportToCrashGuard(ActiveRequest& request,
                                   const Attempt& attempt,
                                   AttemptResult result,
                                   BootTime now) {
  if (result == AttemptResult::kAnswered ||
      result == AttemptResult::kErrorResponse) {
    if (!crash_guard_.IsEmpty())
      crash_guard_.OnResponse(FingerprintOf(request), now);
    return false;
  }
  // An upstream that ends as planned may lose its last requests.
  if (result != AttemptResult::kLost ||
      !dispatcher_.IsListedToStay(attempt.upstream))
    return false;
  const std::uint64_t fingerprint = FingerprintOf(request);
  const bool was_suspect = crash_guard_.IsSuspect(fingerprint, now);
  crash_guard_.OnConnectionLost(
      attempt.upstream,
      {request.request_id, fingerprint, attempt.sent_at, now});
  return was_suspect;
}

}  // namespace pollenrudder
