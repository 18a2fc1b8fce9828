// Lookups in the document. The parser and the checks are in section_parser.cc.

#include "document/document.h"

#include <utility>

namespace pollenrudder {

void Document::Replace(Section section) {
  std::string team = section.team;
  sections_.insert_or_assign(std::move(team), std::move(section));
}

const ServiceSettings* Document::FindService(std::string_view name) const {
  for (const auto& [team, section] : sections_) {
    for (const ServiceSettings& service : section.services) {
      if (service.name == name)
        return &service;
    }
  }
  return nullptr;
}

const ServiceSettings* Document::FindServiceByPath(
    std::string_view path) const {
  const ServiceSettings* longest = nullptr;
  for (const auto& [team, section] : sections_) {
    for (const ServiceSettings& service : section.services) {
      if (!path.starts_with(service.path_prefix))
        continue;
      if (!longest || service.path_prefix.size() > longest->path_prefix.size())
        longest = &service;
    }
  }
  return longest;
}

const Section* Document::FindSectionOfService(std::string_view name) const {
  for (const auto& [team, section] : sections_) {
    for (const ServiceSettings& service : section.services) {
      if (service.name == name)
        return &section;
    }
  }
  return nullptr;
}

}  // namespace pollenrudder
