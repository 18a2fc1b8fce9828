// Encoding and decoding of ForwardedRequest.

#include "callers/forwarded_request.h"

#include <array>
#include <cstddef>
#include <limits>

#include "http/http_message.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kForwardedFieldCount = 4;
constexpr std::string_view kForwarded = "Pollenrudder-Forwarded";
constexpr std::string_view kDeadline = "Pollenrudder-Deadline";
constexpr std::string_view kRequestId = "Pollenrudder-Request-Id";
constexpr std::string_view kFlow = "Pollenrudder-Flow";
constexpr std::string_view kIssue = "Pollenrudder-Issue";
constexpr std::uint64_t kMaxRemainingMs = 24ull * 3600 * 1000;

// Splits `text` at ';'. Returns nothing unless it has kForwardedFieldCount
// fields.
std::optional<std::array<std::string_view, kForwardedFieldCount>> SplitFields(
    std::string_view text) {
  std::array<std::string_view, kForwardedFieldCount> fields;
  for (std::size_t index = 0; index < kForwardedFieldCount; ++index) {
    const std::size_t end = text.find(';');
    if ((end == std::string_view::npos) != (index == kForwardedFieldCount - 1))
      return std::nullopt;
    fields[index] = text.substr(0, end);
    if (end != std::string_view::npos)
      text.remove_prefix(end + 1);
  }
  return fields;
}

Error HeaderError(std::string_view header) {
  return MakeError(ErrorKind::kPeerProtocol,
                   std::string(header) + " is missing or malformed");
}

std::optional<std::uint64_t> FindNumber(std::string_view lines,
                                        std::string_view name) {
  const auto text = FindHeader(lines, name);
  return text ? ParseNumber(*text) : std::nullopt;
}

}  // namespace

std::string ForwardedRequest::ToControlLines() const {
  constexpr std::size_t kTypicalBytes = 256;
  std::string lines;
  lines.reserve(kTypicalBytes);
  AppendHeader(lines, kForwarded,
               service + ";" + std::to_string(shard) + ";" +
                   std::to_string(epoch) + ";" + upstream);
  AppendHeader(lines, kDeadline,
               static_cast<std::uint64_t>(remaining_time.count()));
  AppendHeader(lines, kFlow, flow);
  if (!request_id.empty())
    AppendHeader(lines, kRequestId, request_id);
  if (ids_to_issue > 0)
    AppendHeader(lines, kIssue, ids_to_issue);
  return lines;
}

Result<ForwardedRequest> ForwardedRequest::Parse(
    std::string_view control_lines) {
  const auto fields =
      SplitFields(FindHeader(control_lines, kForwarded).value_or(""));
  if (!fields)
    return HeaderError(kForwarded);
  const auto shard = ParseNumber((*fields)[1]);
  const auto epoch = ParseNumber((*fields)[2]);
  if ((*fields)[0].empty() || (*fields)[3].empty() || !shard || !epoch ||
      *shard > std::numeric_limits<std::uint32_t>::max())
    return HeaderError(kForwarded);
  const auto remaining_time = FindNumber(control_lines, kDeadline);
  if (!remaining_time || *remaining_time > kMaxRemainingMs)
    return HeaderError(kDeadline);
  const auto flow = FindNumber(control_lines, kFlow);
  if (!flow)
    return HeaderError(kFlow);
  ForwardedRequest request;
  request.service = (*fields)[0];
  request.shard = static_cast<std::uint32_t>(*shard);
  request.epoch = *epoch;
  request.upstream = (*fields)[3];
  request.remaining_time = std::chrono::milliseconds(*remaining_time);
  request.flow = *flow;
  request.request_id = FindHeader(control_lines, kRequestId).value_or("");
  if (FindHeader(control_lines, kIssue)) {
    const auto ids_to_issue = FindNumber(control_lines, kIssue);
    if (!ids_to_issue || *ids_to_issue == 0 ||
        *ids_to_issue > std::numeric_limits<std::uint16_t>::max())
      return HeaderError(kIssue);
    request.ids_to_issue = static_cast<std::uint32_t>(*ids_to_issue);
  }
  return request;
}

}  // namespace pollenrudder
