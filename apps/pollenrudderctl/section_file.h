// Local section files, and the output of their errors.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "document/document.h"

namespace pollenrudder {

// Returns the content of the file, or kInvalidDocument if it cannot be read.
Result<std::string> ReadSectionFile(const std::string& path);

// Prints each error as "path:line:column: message" to standard error.
void PrintDocumentErrors(const std::string& path,
                         const std::vector<DocumentError>& errors);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_SECTION_FILE_H_
