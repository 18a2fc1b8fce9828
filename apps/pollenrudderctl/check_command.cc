// The command `check`: validates section files without contacting any service.

#include <iostream>

#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"
#include "pollenrudderctl/section_file.h"

namespace pollenrudder {

int RunCheck(const CommandLine& line) {
  if (line.arguments.empty()) {
    std::cerr << "pollenrudderctl: check needs at least one file\n";
    return kExitUsage;
  }
  Document document;
  int exit_code = kExitOk;
  for (const std::string& path : line.arguments) {
    const auto text = ReadSectionFile(path);
    if (!text) {
      std::cerr << "pollenrudderctl: " << text.error().message << '\n';
      exit_code = kExitFailure;
      continue;
    }
    auto checked = Document::ParseSection(text.value());
    if (checked.valid())
      checked = document.CheckReplacement(checked.section.team, text.value());
    if (!checked.valid()) {
      PrintDocumentErrors(path, checked.errors);
      exit_code = kExitFailure;
      continue;
    }
    std::cout << path << ": valid section of team " << checked.section.team
              << '\n';
    document.Replace(std::move(checked.section));
  }
  return exit_code;
}

}  // namespace pollenrudder
