// A section file on the operator's machine.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "document/document.h"

namespace pollenrudder {

// Reads a whole file.
Result<std::string> ReadSectionFile(const std::string& path);

// Prints each error as "path:line:column: message" to standard error.
void PrintDocumentErrors(const std::string& path,
                         const std::vector<DocumentError>& errors);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_
