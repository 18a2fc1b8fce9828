// Runs the daemon over the shared document.

#ifndef POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_
#define POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_

#include <string>

namespace pollenrudder {

// Returns the exit code; failures are printed to standard error. With
// `check_only`, only checks the settings. A build for the platform alone has no
// document mode and says so.
int RunInDocumentMode(const std::string& settings_path, bool check_only);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_
