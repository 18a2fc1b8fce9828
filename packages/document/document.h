// The document: the active sections of all teams.

#ifndef POLLENRUDDER_DOCUMENT_DOCUMENT_H_
#define POLLENRUDDER_DOCUMENT_DOCUMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "document/document_error.h"
#include "document/section.h"

namespace pollenrudder {

// Holds one section per team, looks up services in all of them, and validates
// new sections. To change a section, call CheckReplacement() and pass the
// result to Replace(). The checks depend only on their arguments and the active
// sections, so that all instances that replay the log accept and reject the
// same sections.
class Document {
 public:
  // Result of a check: a section, or every error in the text.
  struct CheckedSection {
    Section section;
    std::vector<DocumentError> errors;

    bool valid() const { return errors.empty(); }
  };

  // Parses and checks `text` without regard to other sections.
  static CheckedSection ParseSection(std::string_view text);

  // Parses `text` and checks it as the new section of `team`. Besides the
  // checks of ParseSection(), the team's name must match, other teams' active
  // sections must not declare the same services or overlapping path prefixes,
  // and a service must keep its shard count and whether it is divided by key.
  CheckedSection CheckReplacement(std::string_view team,
                                  std::string_view text) const;

  // Activates a checked section in place of the team's current one.
  void Replace(Section section);

  // The active sections by team.
  const std::map<std::string, Section>& sections() const { return sections_; }
  // Returns the service, or null if no section declares it.
  const ServiceSettings* FindService(std::string_view name) const;
  // Returns the service with the longest path prefix that matches `path`, or
  // null.
  const ServiceSettings* FindServiceByPath(std::string_view path) const;
  // Returns the section that declares the service, or null.
  const Section* FindSectionOfService(std::string_view name) const;

 private:
  // Invariant: no service name and no path prefix occurs in two sections.
  std::map<std::string, Section> sections_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_DOCUMENT_H_
