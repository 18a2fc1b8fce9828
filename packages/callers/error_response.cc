// Error responses and the control headers of responses.

#include "callers/error_response.h"

#include <string>

namespace pollenrudder {

HttpResponse CreateErrorResponse(ErrorKind kind, std::string_view request_id) {
  const ErrorDescription& description = DescribeError(kind);
  HttpResponse response;
  response.status = description.http_status;
  AppendHeader(response.header_lines, "Content-Type", "application/json");
  AppendHeader(response.control_lines, "Pollenrudder-Outcome",
               OutcomeName(description.outcome));
  AppendHeader(response.control_lines, "Pollenrudder-Error", description.name);
  if (!request_id.empty())
    AppendHeader(response.control_lines, "Pollenrudder-Request-Id", request_id);
  response.body = "{\"error\": \"" + std::string(description.name) +
                  "\", \"outcome\": \"" +
                  std::string(OutcomeName(description.outcome)) + "\"}\n";
  return response;
}

void SetAnsweredHeaders(HttpResponse& response, std::string_view request_id) {
  response.control_lines.clear();
  AppendHeader(response.control_lines, "Pollenrudder-Outcome",
               OutcomeName(Outcome::kAnswered));
  if (!request_id.empty())
    AppendHeader(response.control_lines, "Pollenrudder-Request-Id", request_id);
}

}  // namespace pollenrudder
