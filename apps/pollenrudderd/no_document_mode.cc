// Replaces document_mode.cc in a build with POLLENRUDDER_PLATFORM_ONLY.

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
