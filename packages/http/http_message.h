// HTTP/1.1 messages and functions to read and format them.

#ifndef POLLENRUDDER_HTTP_HTTP_MESSAGE_H_
#define POLLENRUDDER_HTTP_HTTP_MESSAGE_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace pollenrudder {

// A completely received request. Header fields are kept as text, since almost
// all of them are forwarded without being read.
struct HttpRequest {
  std::string method;
  // Path and query. A target in absolute form is reduced to these.
  std::string target;
  // The fields to forward, each in the form "Name: value" CR LF. Excludes
  // connection-specific fields, Content-Length and Pollenrudder-*.
  std::string header_lines;
  // The Pollenrudder-* fields, in the same form.
  std::string control_lines;
  std::string body;
  bool keep_alive = true;
};

// A completely received response, or a response to be sent.
struct HttpResponse {
  int status = 0;
  // As in HttpRequest.
  std::string header_lines;
  std::string control_lines;
  // The Keep-Alive fields of a received response, in the same form. Not sent.
  std::string connection_lines;
  std::string body;
  // The Content-Length of a response to HEAD, which has no body.
  std::optional<std::uint64_t> head_content_length;
  bool keep_alive = true;
};

// Returns the value of the first field `name` in `lines`. Names are compared
// without regard to case.
std::optional<std::string_view> FindHeader(std::string_view lines,
                                           std::string_view name);

// Returns `lines` without the fields in `names`, which are compared without
// regard to case.
std::string WithoutHeaders(std::string_view lines,
                           std::initializer_list<std::string_view> names);

// Appends "name: value" CR LF. Precondition: `value` contains no CR or LF.
void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::string_view value);
void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::uint64_t value);

// Returns the path of a request target, without query and fragment.
std::string_view PathOf(std::string_view target);

// Compares two header names without regard to case.
bool HeaderNamesEqual(std::string_view first, std::string_view second);

// Orders header names without regard to case.
struct HeaderNameLess {
  using is_transparent = void;
  bool operator()(std::string_view first, std::string_view second) const;
};
using HeaderNames = std::set<std::string, HeaderNameLess>;

// As above, for any number of names.
std::string WithoutHeaders(std::string_view lines, const HeaderNames& names);

// Parses a decimal number. Returns nothing if `text` contains anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

// Formats everything before the body of a request, with `header_lines` and
// `control_lines` in place of the request's own.
std::string FormatRequestHead(const HttpRequest& request,
                              std::string_view header_lines,
                              std::string_view control_lines);

// Formats a request, with `control_lines` in place of the request's own.
std::string FormatRequest(const HttpRequest& request,
                          std::string_view control_lines);

// Formats a response. `head_request` omits the body; `close` adds
// "Connection: close".
std::string FormatResponse(const HttpResponse& response,
                           bool head_request,
                           bool close);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_HTTP_HTTP_MESSAGE_H_
