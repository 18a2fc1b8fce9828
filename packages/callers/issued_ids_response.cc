// Formatting of issued request ids.

#include "callers/issued_ids_response.h"

namespace pollenrudder {

HttpResponse CreateIssuedIdsResponse(const std::vector<std::string>& ids) {
  HttpResponse response;
  response.status = 200;
  AppendHeader(response.header_lines, "Content-Type", "application/json");
  // Ids are percent-encoded and therefore need no JSON escapes.
  response.body = "{\"request_ids\": [";
  for (const std::string& id : ids)
    response.body += (&id == &ids.front() ? "\"" : ", \"") + id + "\"";
  response.body += "]}\n";
  return response;
}

}  // namespace pollenrudder
