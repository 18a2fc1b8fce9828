// HTTP/1.1 messages as the data path holds them.

#ifndef POLLENRUDDER_HTTP_HTTP_MESSAGE_H_
#define POLLENRUDDER_HTTP_HTTP_MESSAGE_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace pollenrudder {

// A request that was received whole. Header fields are kept as text, since
// almost all of them are passed on unread.
struct HttpRequest {
  std::string method;
  // Path and query; an absolute form is reduced to it.
  std::string target;
  // The fields to pass on, each "Name: value" with CR LF at its end. Fields of
  // the connection, Content-Length and Pollenrudder-* are left out.
  std::string header_lines;
  // The Pollenrudder-* fields, in the same form.
  std::string control_lines;
  std::string body;
  bool keep_alive = true;
};

// A response that was received whole, or that is to be sent.
struct HttpResponse {
  int status = 0;
  // As in HttpRequest.
  std::string header_lines;
  std::string control_lines;
  // The Keep-Alive fields, in the same form. Not sent.
  std::string connection_lines;
  std::string body;
  // The Content-Length of an answer to HEAD, which has no body.
  std::optional<std::uint64_t> head_length;
  bool keep_alive = true;
};

// Returns the value of the first field `name` in `lines`, ignoring case.
std::optional<std::string_view> FindHeader(std::string_view lines,
                                           std::string_view name);

// Returns `lines` without the fields of these names, ignoring case.
std::string WithoutHeaders(std::string_view lines,
                           std::initializer_list<std::string_view> names);

// Appends "name: value" CR LF. Precondition: `value` has no CR or LF.
void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::string_view value);
void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::uint64_t value);

// Returns the path of a request target, without query and fragment.
std::string_view PathOf(std::string_view target);

// Returns whether two header names are equal, ignoring case.
bool HeaderNamesEqual(std::string_view first, std::string_view second);

// Returns the whole text as a decimal number, or nothing.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

// Formats a request with `control_lines` in place of its own control lines.
std::string FormatRequest(const HttpRequest& request,
                          std::string_view control_lines);

// Formats a response, with "Connection: close" if `close` is set.
std::string FormatResponse(const HttpResponse& response,
                           bool head_request,
                           bool close);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_HTTP_HTTP_MESSAGE_H_
