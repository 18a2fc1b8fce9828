// Reads the fields of one YAML mapping and reports every fault in it.

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

// One use reads one mapping: call the Read functions for the fields it may
// have, then Finish(), which reports the fields that nobody read. A field that
// is missing leaves its value as it is. Faults are added to the error list
// that was passed in, so that one run finds all of them.
class MappingReader {
 public:
  // A number is accepted from `least` to `most`.
  struct Range {
    std::uint64_t min;
    std::uint64_t max;
  };
  struct DurationRange {
    std::chrono::milliseconds min;
    std::chrono::milliseconds max;
  };

  // `what` names the mapping in messages, for example "service". Both
  // arguments are used until the reader is destroyed.
  MappingReader(const YAML::Node& mapping,
                std::string mapping_name,
                std::vector<DocumentError>& errors);
  ~MappingReader();
  MappingReader(const MappingReader&) = delete;
  MappingReader& operator=(const MappingReader&) = delete;

  // Parses YAML text. Returns nothing, and reports why, if it is not a mapping.
  static std::optional<YAML::Node> ParseText(
      std::string_view text,
      std::vector<DocumentError>& errors);

  bool Has(const char* field) const;
  // Reports a missing field.
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

  // Calls `read` for the mapping in `field`, or for each mapping of the list
  // in it.
  using ReadMapping = std::function<void(const YAML::Node&)>;
  void ReadChild(const char* field, const ReadMapping& parse);
  void ReadChildren(const char* field, const ReadMapping& parse);

  // Reports a fault at `field`, or at the mapping if the field is missing.
  void Report(const char* field, std::string message);

  // Reports every field that no Read function named.
  void Finish();

 private:
  // Returns the scalar text of `field`; reports a value that is no scalar.
  std::optional<std::string> ReadScalar(const char* field);
  void ReportDuplicates();

  const YAML::Node& mapping_;
  const std::string mapping_name_;
  std::vector<DocumentError>& errors_;
  std::set<std::string, std::less<>> known_fields_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_MAPPING_READER_H_
