// Reads a section file and formats its errors.

#include "pollenrudderctl/section_file.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace pollenrudder {

Result<std::string> ReadSectionFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file)
    return MakeError(ErrorKind::kInvalidDocument, "cannot read " + path);
  return text.str();
}

void PrintDocumentErrors(const std::string& path,
                         const std::vector<DocumentError>& errors) {
  for (const DocumentError& error : errors)
    std::cerr << path << ':' << error.line << ':' << error.column << ": "
              << error.message << '\n';
}

}  // namespace pollenrudder
