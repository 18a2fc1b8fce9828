// MappingReader, implemented with yaml-cpp.

#include "document/mapping_reader.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <utility>

#include "document/unit_parser.h"

namespace pollenrudder {
namespace {

// Larger texts are rejected without being parsed.
constexpr std::size_t kMaxTextBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxNameBytes = 64;

DocumentError ErrorAt(const YAML::Mark& mark, std::string message) {
  if (mark.is_null())
    return DocumentError{0, 0, std::move(message)};
  return DocumentError{static_cast<std::size_t>(mark.line) + 1,
                       static_cast<std::size_t>(mark.column) + 1,
                       std::move(message)};
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '_' || character == '.';
  });
}

std::string RangeText(MappingReader::Range range) {
  return std::to_string(range.min) + " to " + std::to_string(range.max);
}

}  // namespace

MappingReader::MappingReader(const YAML::Node& mapping,
                             std::string mapping_name,
                             std::vector<DocumentError>& errors)
    : mapping_(mapping),
      mapping_name_(std::move(mapping_name)),
      errors_(errors) {
  ReportDuplicates();
}

MappingReader::~MappingReader() = default;

std::optional<YAML::Node> MappingReader::ParseText(
    std::string_view text,
    std::vector<DocumentError>& errors) {
  if (text.size() > kMaxTextBytes) {
    errors.push_back({0, 0,
                      "the text is longer than " +
                          std::to_string(kMaxTextBytes) + " bytes"});
    return std::nullopt;
  }
  try {
    YAML::Node node = YAML::Load(std::string(text));
    if (node.IsMap())
      return node;
    errors.push_back(ErrorAt(node.Mark(), "expected a mapping of fields"));
  } catch (const YAML::Exception& exception) {
    errors.push_back(ErrorAt(exception.mark, exception.msg));
  }
  return std::nullopt;
}

bool MappingReader::Has(const char* field) const {
  return mapping_[field].IsDefined();
}

void MappingReader::Require(const char* field) {
  if (!Has(field))
    Report(field, "is missing");
}

void MappingReader::ReadName(const char* field, std::string& value) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  if (!IsName(*text)) {
    Report(field,
           "must be 1 to 64 letters, digits, dots, hyphens or underscores");
    return;
  }
  value = *text;
}

void MappingReader::ReadText(const char* field, std::string& value) {
  if (auto text = ReadScalar(field))
    value = std::move(*text);
}

void MappingReader::ReadAddress(const char* field, std::string& value) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  if (!IsAddress(*text)) {
    Report(field, "must be an IP address and a port, such as 10.0.0.1:8080");
    return;
  }
  value = *text;
}

void MappingReader::ReadBoolean(const char* field, bool& value) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  if (*text != "true" && *text != "false") {
    Report(field, "must be true or false");
    return;
  }
  value = *text == "true";
}

void MappingReader::ReadNumber(const char* field,
                               std::uint32_t& value,
                               Range range) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  const auto number = ParseWholeNumber(*text);
  if (!number || *number < range.min || *number > range.max) {
    Report(field, "must be a whole number from " + RangeText(range));
    return;
  }
  value = static_cast<std::uint32_t>(*number);
}

void MappingReader::ReadByteSize(const char* field,
                                 std::uint32_t& value,
                                 Range range) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  const auto number = ParseByteSize(*text);
  if (!number || *number < range.min || *number > range.max) {
    Report(field, "must be a size with a unit (B, KiB, MiB) from " +
                      RangeText(range) + " bytes");
    return;
  }
  value = static_cast<std::uint32_t>(*number);
}

void MappingReader::ReadPercentage(const char* field,
                                   std::uint32_t& value,
                                   Range range) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  const auto number = ParsePercentage(*text);
  if (!number || *number < range.min || *number > range.max) {
    Report(field,
           "must be a whole percentage, such as 15%, from " + RangeText(range));
    return;
  }
  value = static_cast<std::uint32_t>(*number);
}

void MappingReader::ReadDuration(const char* field,
                                 std::chrono::milliseconds& value,
                                 DurationRange range) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  const auto duration = ParseDuration(*text);
  if (!duration) {
    Report(field, "must be a duration with a unit (ms, s, m, h), such as 30s");
    return;
  }
  if (*duration < range.min || *duration > range.max) {
    Report(field, "must be from " + std::to_string(range.min.count()) +
                      "ms to " + std::to_string(range.max.count()) + "ms");
    return;
  }
  value = *duration;
}

void MappingReader::ReadTime(const char* field, WallTime& value) {
  const auto text = ReadScalar(field);
  if (!text)
    return;
  const auto time = ParseUtcTime(*text);
  if (!time) {
    Report(field, "must be a UTC time, such as 2026-12-05T02:00:00Z");
    return;
  }
  value = *time;
}

void MappingReader::ReadNames(const char* field,
                              std::vector<std::string>& values) {
  known_fields_.insert(field);
  if (!Has(field))
    return;
  const YAML::Node list = mapping_[field];
  if (!list.IsSequence()) {
    Report(field, "must be a list of names");
    return;
  }
  std::vector<std::string> names;
  for (const YAML::Node& entry : list) {
    if (!entry.IsScalar() || !IsName(entry.Scalar())) {
      errors_.push_back(ErrorAt(
          entry.Mark(), mapping_name_ + "." + field + " must hold names only"));
      return;
    }
    names.push_back(entry.Scalar());
  }
  values = std::move(names);
}

void MappingReader::ReadChild(const char* field, const ReadMapping& parse) {
  known_fields_.insert(field);
  if (!Has(field))
    return;
  const YAML::Node child = mapping_[field];
  if (!child.IsMap()) {
    Report(field, "must be a mapping of fields");
    return;
  }
  parse(child);
}

void MappingReader::ReadChildren(const char* field, const ReadMapping& parse) {
  known_fields_.insert(field);
  if (!Has(field))
    return;
  const YAML::Node list = mapping_[field];
  if (!list.IsSequence()) {
    Report(field, "must be a list");
    return;
  }
  for (const YAML::Node& child : list) {
    if (child.IsMap()) {
      parse(child);
      continue;
    }
    errors_.push_back(ErrorAt(child.Mark(), mapping_name_ + "." + field +
                                                " must hold mappings only"));
  }
}

void MappingReader::Report(const char* field, std::string message) {
  const YAML::Node value = mapping_[field];
  const YAML::Mark mark = value.IsDefined() ? value.Mark() : mapping_.Mark();
  errors_.push_back(
      ErrorAt(mark, mapping_name_ + "." + field + " " + std::move(message)));
}

void MappingReader::Finish() {
  for (const auto& entry : mapping_) {
    const std::string name =
        entry.first.IsScalar() ? entry.first.Scalar() : "(no name)";
    if (!known_fields_.contains(name))
      errors_.push_back(ErrorAt(
          entry.first.Mark(), mapping_name_ + " has an unknown field " + name));
  }
}

std::optional<std::string> MappingReader::ReadScalar(const char* field) {
  known_fields_.insert(field);
  if (!Has(field))
    return std::nullopt;
  const YAML::Node value = mapping_[field];
  if (!value.IsScalar()) {
    Report(field, "must be a single value");
    return std::nullopt;
  }
  return value.Scalar();
}

void MappingReader::ReportDuplicates() {
  std::set<std::string> names;
  for (const auto& entry : mapping_) {
    if (entry.first.IsScalar() && !names.insert(entry.first.Scalar()).second)
      errors_.push_back(ErrorAt(
          entry.first.Mark(),
          mapping_name_ + " has the field " + entry.first.Scalar() + " twice"));
  }
}

}  // namespace pollenrudder
