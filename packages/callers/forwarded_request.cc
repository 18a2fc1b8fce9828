// ForwardedRequest.

#include "callers/forwarded_request.h"

#include <array>
#include <cstddef>
#include <limits>

#include "http/http_message.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kParts = 4;
constexpr std::string_view kForwarded = "Pollenrudder-Forwarded";
constexpr std::string_view kDeadline = "Pollenrudder-Deadline";
constexpr std::string_view kRequestId = "Pollenrudder-Request-Id";
constexpr std::string_view kFlow = "Pollenrudder-Flow";
constexpr std::string_view kIssue = "Pollenrudder-Issue";
constexpr std::uint64_t kMaxDeadline = 24ull * 3600 * 1000;

// Splits at ';' into exactly kParts parts.
std::optional<std::array<std::string_view, kParts>> Split(
    std::string_view text) {
  std::array<std::string_view, kParts> parts;
  for (std::size_t index = 0; index < kParts; ++index) {
    const std::size_t end = text.find(';');
    if ((end == std::string_view::npos) != (index == kParts - 1))
      return std::nullopt;
    parts[index] = text.substr(0, end);
    if (end != std::string_view::npos)
      text.remove_prefix(end + 1);
  }
  return parts;
}

Error Fault(std::string_view header) {
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
  constexpr std::size_t kUsualBytes = 256;
  std::string lines;
  lines.reserve(kUsualBytes);
  AppendHeader(lines, kForwarded,
               service + ";" + std::to_string(shard) + ";" +
                   std::to_string(epoch) + ";" + upstream);
  AppendHeader(lines, kDeadline, static_cast<std::uint64_t>(deadline.count()));
  AppendHeader(lines, kFlow, flow);
  if (!request_id.empty())
    AppendHeader(lines, kRequestId, request_id);
  if (issue > 0)
    AppendHeader(lines, kIssue, issue);
  return lines;
}

Result<ForwardedRequest> ForwardedRequest::Parse(
    std::string_view control_lines) {
  const auto parts = Split(FindHeader(control_lines, kForwarded).value_or(""));
  if (!parts)
    return Fault(kForwarded);
  const auto shard = ParseNumber((*parts)[1]);
  const auto epoch = ParseNumber((*parts)[2]);
  if ((*parts)[0].empty() || (*parts)[3].empty() || !shard || !epoch ||
      *shard > std::numeric_limits<std::uint32_t>::max())
    return Fault(kForwarded);
  const auto deadline = FindNumber(control_lines, kDeadline);
  if (!deadline || *deadline > kMaxDeadline)
    return Fault(kDeadline);
  const auto flow = FindNumber(control_lines, kFlow);
  if (!flow)
    return Fault(kFlow);
  ForwardedRequest request;
  request.service = (*parts)[0];
  request.shard = static_cast<std::uint32_t>(*shard);
  request.epoch = *epoch;
  request.upstream = (*parts)[3];
  request.deadline = std::chrono::milliseconds(*deadline);
  request.flow = *flow;
  request.request_id = FindHeader(control_lines, kRequestId).value_or("");
  if (FindHeader(control_lines, kIssue)) {
    const auto issue = FindNumber(control_lines, kIssue);
    if (!issue || *issue == 0 ||
        *issue > std::numeric_limits<std::uint16_t>::max())
      return Fault(kIssue);
    request.issue = static_cast<std::uint32_t>(*issue);
  }
  return request;
}

}  // namespace pollenrudder
