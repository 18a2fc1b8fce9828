// Stands in for document mode in a build for the platform alone.

#include <iostream>

#include "pollenrudderd/document_mode.h"

namespace pollenrudder {

int RunInDocumentMode(const std::string& /*settings_path*/,
                      bool /*check_only*/) {
  constexpr int kExitUsage = 2;
  std::cerr << "pollenrudderd: this build runs only with --platform\n";
  return kExitUsage;
}

}  // namespace pollenrudder
