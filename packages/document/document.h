// The document: the sections in force of all teams.

#ifndef POLLENRUDDER_DOCUMENT_DOCUMENT_H_
#define POLLENRUDDER_DOCUMENT_DOCUMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "document/document_error.h"
#include "document/section.h"

namespace pollenrudder {

// Holds one section per team and answers look-ups over all of them. Checks are
// pure functions of their arguments, so that all instances that replay the
// log accept and refuse the same sections.
class Document {
 public:
  // The outcome of a check: a section, or every error found in the text.
  struct CheckedSection {
    Section section;
    std::vector<DocumentError> errors;

    bool valid() const { return errors.empty(); }
  };

  // Parses and checks `text` on its own.
  static CheckedSection CheckText(std::string_view text);

  // Checks `text` as the new section of `team` beside the other teams'
  // sections in force: the team's name, ownership of services and prefixes by
  // two teams, and changes that are not allowed (the shard count).
  CheckedSection CheckReplacement(std::string_view team,
                                  std::string_view text) const;

  // Puts a checked section in force.
  void Replace(Section section);

  const std::map<std::string, Section>& sections() const { return sections_; }
  // Returns null if no section declares the service.
  const ServiceSettings* FindService(std::string_view name) const;
  // Returns the service with the longest prefix of `path`, or null.
  const ServiceSettings* FindServiceByPath(std::string_view path) const;
  // Returns the section that declares the service, or null.
  const Section* FindSectionOfService(std::string_view name) const;

 private:
  // Invariant: no service name and no path prefix occurs in two sections.
  std::map<std::string, Section> sections_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_DOCUMENT_H_
