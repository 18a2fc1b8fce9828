// Validating reader of a YAML mapping.

#ifndef POLLENRUDDER_DOCUMENT_MAPPING_READER_H_
#define POLLENRUDDER_DOCUMENT_MAPPING_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "document/document_error.h"

namespace YAML {  // NOLINT(readability-identifier-naming): of yaml-cpp
class Node;
}  // namespace YAML

namespace pollenrudder {

// Reads one mapping: call Require() for mandatory fields and a Read function
// for each permitted field, then Finish(), which reports unknown fields. If a
// field is missing or invalid, its value is unchanged. All errors are appended
// to the list that is passed to the constructor, so that one run finds every
// error.
//
//   MappingReader reader(node, "tls", errors);
//   reader.Require("key");
//   reader.ReadText("key", files.key);
//   reader.Finish();
class MappingReader {
 public:
  // Inclusive limits of a number.
  struct Range {
    std::uint64_t min;
    std::uint64_t max;
  };
  // Inclusive limits of a duration.
  struct DurationRange {
    std::chrono::milliseconds min;
    std::chrono::milliseconds max;
  };

  // `mapping_name` names the mapping in messages, for example "service".
  // `mapping` and `errors` must outlive the reader.
  MappingReader(const YAML::Node& mapping,
                std::string mapping_name,
                std::vector<DocumentError>& errors);
  ~MappingReader();
  MappingReader(const MappingReader&) = delete;
  MappingReader& operator=(const MappingReader&) = delete;

  // Parses YAML text. If it is not a mapping, adds an error and returns
  // nothing.
  static std::optional<YAML::Node> ParseText(
      std::string_view text,
      std::vector<DocumentError>& errors);

  bool Has(const char* field) const;
  // Reports the field if it is missing.
  void Require(const char* field);

  void ReadName(const char* field, std::string& value);
  void ReadText(const char* field, std::string& value);
  void ReadAddress(const char* field, std::string& value);
  void ReadBoolean(const char* field, bool& value);
  void ReadNumber(const char* field, std::uint32_t& value, Range range);
  void ReadByteSize(const char* field, std::uint32_t& value, Range range);
  void ReadPercentage(const char* field, std::uint32_t& value, Range range);
  void ReadDuration(const char* field,
                    std::chrono::milliseconds& value,
                    DurationRange range);
  void ReadTime(const char* field, WallTime& value);
  void ReadNames(const char* field, std::vector<std::string>& values);

  // Call `parse` for the mapping in `field`, or for each mapping of the list in
  // it.
  using ReadMapping = std::function<void(const YAML::Node&)>;
  void ReadChild(const char* field, const ReadMapping& parse);
  void ReadChildren(const char* field, const ReadMapping& parse);

  // Reports an error at `field`, or at the mapping if the field is missing.
  void Report(const char* field, std::string message);

  // Reports every field that no Read function has been called for.
  void Finish();

 private:
  // Returns the text of a scalar field. Reports any other type of value.
  std::optional<std::string> ReadScalar(const char* field);
  void ReportDuplicates();

  const YAML::Node& mapping_;
  const std::string mapping_name_;
  std::vector<DocumentError>& errors_;
  std::set<std::string, std::less<>> known_fields_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_MAPPING_READER_H_
