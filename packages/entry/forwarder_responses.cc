// Forwarder: responses to callers, and their log lines.

#include <cassert>
#include <cstdio>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_connection.h"
#include "entry/duration_text.h"
#include "entry/entry_events.h"
#include "entry/forwarder.h"

namespace pollenrudder {

using std::chrono::nanoseconds;

void Forwarder::RecordAbandoned(const ActiveRequest& request, BootTime now) {
  metrics_.Count("entry_requests_abandoned_total");
  EventLog::WriteLazily(kRequestAbandoned, [&] {
    return std::vector<LogField>{
        {"request", request.request_id},
        {"sends", request.sends},
        {"after_ms", Milliseconds(now - request.dispatch.arrived)}};
  });
}

void Forwarder::Deliver(Requests::iterator it,
                        const Attempt& attempt,
                        const HttpResponse& response) {
  const BootTime now = BootClock::now();
  ActiveRequest request = std::move(it->second);
  requests_.erase(it);
  const nanoseconds total = now - request.dispatch.arrived;
  metrics_.Count("entry_requests_served_total",
                 "service=\"" + request.dispatch.service + '"');
  metrics_.Observe("entry_answer_seconds",
                   "service=\"" + request.dispatch.service + '"', total);
  EventLog::WriteLazily(kRequestServed, [&] {
    return std::vector<LogField>{
        {"request", request.request_id},
        {"status", response.status},
        {"route", request.route},
        {"plan", request.configuration_version},
        {"upstream", attempt.upstream.name},
        {"sends", request.sends},
        {"waited_ms", Milliseconds(attempt.sent_at - request.dispatch.arrived)},
        {"total_ms", Milliseconds(total)}};
  });
  if (const auto caller = request.caller.lock())
    caller->SendResponse(request.sequence, response, /*close=*/false);
}

void Forwarder::Fail(Requests::iterator it,
                     ErrorKind kind,
                     nanoseconds retry_after) {
  const BootTime now = BootClock::now();
  ActiveRequest request = std::move(it->second);
  requests_.erase(it);
  const bool not_run = DescribeError(kind).outcome == Outcome::kNotRun;
  metrics_.Count(
      not_run ? "entry_requests_refused_total" : "entry_requests_failed_total",
      "kind=\"" + std::string(DescribeError(kind).name) + '"');
  EventLog::WriteLazily(not_run ? kRequestRefused : kRequestFailed, [&] {
    return std::vector<LogField>{
        {"request", request.request_id},
        {"kind", DescribeError(kind).name},
        {"route", request.route},
        {"service", request.dispatch.service},
        {"plan", request.configuration_version},
        {"upstream", request.dispatch.tried.empty()
                         ? std::string("none")
                         : request.dispatch.tried.back()},
        {"sends", request.sends},
        {"after_ms", Milliseconds(now - request.dispatch.arrived)},
        {"retry_after_ms", Milliseconds(retry_after)}};
  });
  if (const auto caller = request.caller.lock()) {
    caller->SendResponse(
        request.sequence,
        MakeErrorResponse(kind, request.request_id, retry_after),
        /*close=*/false);
  }
}

void Forwarder::OnColdPeriod(const ListedUpstream& upstream,
                             std::string_view reason,
                             nanoseconds duration,
                             std::uint32_t instances) {
  metrics_.Count("entry_cold_periods_total",
                 "reason=\"" + std::string(reason) + '"');
  EventLog::WriteLazily(kColdPeriod, [&] {
    return std::vector<LogField>{{"upstream", upstream.name},
                                 {"service", upstream.service},
                                 {"reason", reason},
                                 {"duration_ms", Milliseconds(duration)},
                                 {"instances", instances}};
  });
}

void Forwarder::OnRefuse(const DispatchRequest& dispatch,
                         ErrorKind kind,
                         nanoseconds retry_after) {
  const auto it = requests_.find(dispatch.id);
  assert(it != requests_.end());
  // An earlier attempt may have run the request, so the response must not state
  // that it has not run.
  if (it->second.may_have_run)
    Fail(it, ErrorKind::kUnknownUpstreamLost, nanoseconds(0));
  else
    Fail(it, kind, retry_after);
}

HttpResponse Forwarder::MakeErrorResponse(ErrorKind kind,
                                          std::string_view request_id,
                                          nanoseconds retry_after) const {
  const ErrorDescription& error = DescribeError(kind);
  HttpResponse response;
  response.status = error.http_status;
  AppendHeader(response.header_lines, "Content-Type", "text/plain");
  AppendHeader(response.control_lines, "Pollenrudder-Error", error.name);
  AppendHeader(response.control_lines, "Pollenrudder-Outcome",
               OutcomeName(error.outcome));
  if (retry_after > nanoseconds(0)) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f",
                  std::chrono::duration<double>(retry_after).count());
    AppendHeader(response.control_lines, "Retry-After", text);
  }
  protocol_.AddRouterHeaders(response, request_id);
  response.body = std::string(error.name) + '\n';
  return response;
}

}  // namespace pollenrudder
