// Extraction of keys and query parameters, with percent-decoding.

#include "callers/key_extractor.h"

#include <cstddef>
#include <cstdint>

namespace pollenrudder {
namespace {

constexpr int kHexBase = 16;

int HexDigit(char character) {
  if (character >= '0' && character <= '9')
    return character - '0';
  if (character >= 'a' && character <= 'f')
    return character - 'a' + 10;
  if (character >= 'A' && character <= 'F')
    return character - 'A' + 10;
  return -1;
}

std::optional<std::string> PercentDecode(std::string_view text,
                                         bool plus_is_space) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '+' && plus_is_space) {
      decoded += ' ';
    } else if (text[index] == '%') {
      if (index + 2 >= text.size())
        return std::nullopt;
      const int high = HexDigit(text[index + 1]);
      const int low = HexDigit(text[index + 2]);
      if (high < 0 || low < 0)
        return std::nullopt;
      decoded += static_cast<char>(high * kHexBase + low);
      index += 2;
    } else {
      decoded += text[index];
    }
  }
  return decoded;
}

// Returns segment `number` of `path`, or nothing.
std::optional<std::string_view> SegmentOf(std::string_view path,
                                          std::uint32_t number) {
  for (std::uint32_t index = 0;; ++index) {
    const std::size_t slash = path.find('/');
    if (index == number)
      return path.substr(0, slash);
    if (slash == std::string_view::npos)
      return std::nullopt;
    path.remove_prefix(slash + 1);
  }
}

std::optional<std::string> FindKey(const ServiceSettings& service,
                                   const HttpRequest& request) {
  switch (service.key.kind) {
    case KeySource::Kind::kHeader: {
      const auto value = FindHeader(request.header_lines, service.key.name);
      return value ? std::optional<std::string>(*value) : std::nullopt;
    }
    case KeySource::Kind::kQuery:
      return FindQueryParameter(request.target, service.key.name);
    case KeySource::Kind::kPathSegment: {
      const auto segment =
          SegmentOf(PathOf(request.target).substr(service.path_prefix.size()),
                    service.key.segment);
      return segment ? PercentDecode(*segment, false) : std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace

bool HasDotSegments(std::string_view path) {
  // Fast path: very few paths have a segment that starts with a dot or with the
  // first characters of an encoded dot.
  if (path.find("/.") == std::string_view::npos &&
      path.find("/%2") == std::string_view::npos)
    return false;
  for (std::uint32_t index = 0;; ++index) {
    const auto segment = SegmentOf(path, index);
    if (!segment)
      return false;
    const auto decoded = PercentDecode(*segment, false);
    if (!decoded || *decoded == "." || *decoded == "..")
      return true;
  }
}

std::optional<std::string> FindQueryParameter(std::string_view target,
                                              std::string_view name) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos)
    return std::nullopt;
  std::string_view query = target.substr(question + 1);
  query = query.substr(0, query.find('#'));
  while (true) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return PercentDecode(pair.substr(equals + 1), true);
    if (end == std::string_view::npos)
      return std::nullopt;
    query.remove_prefix(end + 1);
  }
}

std::optional<std::string> ExtractKey(const ServiceSettings& service,
                                      const HttpRequest& request) {
  auto key = FindKey(service, request);
  if (!key || key->empty())
    return std::nullopt;
  return key;
}

}  // namespace pollenrudder
