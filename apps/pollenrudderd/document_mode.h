// Document mode of pollenrudderd: services and planned stops come from the
// shared document on the log, instead of from the users' platform.

#ifndef POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_
#define POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_

#include <string>

namespace pollenrudder {

// Runs the daemon until a signal ends it; with `check_only`, only validates the
// settings. Prints failures to standard error and returns the exit code. Always
// fails in a build with POLLENRUDDER_PLATFORM_ONLY.
int RunInDocumentMode(const std::string& settings_path, bool check_only);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_POLLENRUDDERD_DOCUMENT_MODE_H_
