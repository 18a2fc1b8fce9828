// Header lookup and formatting of HTTP/1.1 messages.

#include "http/http_message.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace pollenrudder {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxNumberDigits = 20;

char ToLower(char character) {
  return character >= 'A' && character <= 'Z'
             ? static_cast<char>(character - 'A' + 'a')
             : character;
}

// Returns `lines` without those whose name `is_unwanted` selects.
template <typename Predicate>
std::string RemoveLines(std::string_view lines, const Predicate& is_unwanted) {
  std::string kept;
  kept.reserve(lines.size());
  while (!lines.empty()) {
    const std::size_t end = lines.find(kLineEnd);
    const std::size_t size =
        end == std::string_view::npos ? lines.size() : end + kLineEnd.size();
    const std::string_view line = lines.substr(0, size);
    if (!is_unwanted(line.substr(0, line.find(':'))))
      kept += line;
    lines.remove_prefix(size);
  }
  return kept;
}

// Returns whether a response with this status never has a body, regardless of
// its headers.
bool HasNoBody(int status) {
  return status == 204 || status == 304 || status / 100 == 1;
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

bool HeaderNamesEqual(std::string_view first, std::string_view second) {
  return std::ranges::equal(first, second, {}, ToLower, ToLower);
}

std::optional<std::string_view> FindHeader(std::string_view lines,
                                           std::string_view name) {
  while (!lines.empty()) {
    const std::size_t end = lines.find(kLineEnd);
    const std::string_view line = lines.substr(0, end);
    if (line.size() > name.size() && line[name.size()] == ':' &&
        HeaderNamesEqual(line.substr(0, name.size()), name)) {
      std::string_view value = line.substr(name.size() + 1);
      while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
      return value;
    }
    if (end == std::string_view::npos)
      break;
    lines.remove_prefix(end + kLineEnd.size());
  }
  return std::nullopt;
}

std::string WithoutHeaders(std::string_view lines,
                           std::initializer_list<std::string_view> names) {
  return RemoveLines(lines, [&](std::string_view name) {
    return std::ranges::any_of(names, [&](std::string_view unwanted) {
      return HeaderNamesEqual(name, unwanted);
    });
  });
}

bool HeaderNameLess::operator()(std::string_view first,
                                std::string_view second) const {
  return std::ranges::lexicographical_compare(first, second, {}, ToLower,
                                              ToLower);
}

std::string WithoutHeaders(std::string_view lines, const HeaderNames& names) {
  return RemoveLines(
      lines, [&](std::string_view name) { return names.contains(name); });
}

void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::string_view value) {
  assert(value.find_first_of("\r\n") == std::string_view::npos);
  lines += name;
  lines += ": ";
  lines += value;
  lines += kLineEnd;
}

void AppendHeader(std::string& lines,
                  std::string_view name,
                  std::uint64_t value) {
  std::array<char, kMaxNumberDigits> digits;
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  AppendHeader(lines, name, std::string_view(digits.data(), end));
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || text.empty())
    return std::nullopt;
  return number;
}

namespace {

// Formats the head in a string with room for `body_bytes` more.
std::string FormatHead(const HttpRequest& request,
                       std::string_view header_lines,
                       std::string_view control_lines,
                       std::size_t body_bytes) {
  constexpr std::size_t kFixedBytes = 64;
  std::string text;
  text.reserve(request.method.size() + request.target.size() +
               header_lines.size() + control_lines.size() + body_bytes +
               kFixedBytes);
  text += request.method;
  text += ' ';
  text += request.target;
  text += " HTTP/1.1\r\n";
  text += header_lines;
  text += control_lines;
  // Methods that usually have a body need a Content-Length even for an empty
  // one.
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD"))
    AppendHeader(text, "Content-Length", request.body.size());
  text += kLineEnd;
  return text;
}

}  // namespace

std::string FormatRequestHead(const HttpRequest& request,
                              std::string_view header_lines,
                              std::string_view control_lines) {
  return FormatHead(request, header_lines, control_lines, /*body_bytes=*/0);
}

std::string FormatRequest(const HttpRequest& request,
                          std::string_view control_lines) {
  std::string text = FormatHead(request, request.header_lines, control_lines,
                                request.body.size());
  text += request.body;
  return text;
}

std::string FormatResponse(const HttpResponse& response,
                           bool head_request,
                           bool close) {
  constexpr std::size_t kFixedBytes = 96;
  std::string text;
  text.reserve(response.header_lines.size() + response.control_lines.size() +
               response.body.size() + kFixedBytes);
  text += "HTTP/1.1 ";
  text += std::to_string(response.status);
  text += ' ';
  const auto reason =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(
          static_cast<unsigned>(response.status)));
  text.append(reason.data(), reason.size());
  text += kLineEnd;
  text += response.header_lines;
  text += response.control_lines;
  if (head_request && response.head_content_length)
    AppendHeader(text, "Content-Length", *response.head_content_length);
  else if (!HasNoBody(response.status))
    AppendHeader(text, "Content-Length", response.body.size());
  if (close)
    AppendHeader(text, "Connection", "close");
  text += kLineEnd;
  if (!head_request && !HasNoBody(response.status))
    text += response.body;
  return text;
}

}  // namespace pollenrudder
