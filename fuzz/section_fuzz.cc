// Fuzz target: parses arbitrary text as a section and as daemon settings.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "document/daemon_settings.h"
#include "document/document.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto checked = pollenrudder::Document::ParseSection(text);
  pollenrudder::Document document;
  if (checked.valid()) {
    document.Replace(checked.section);
    // An accepted section must be valid as a replacement of itself.
    if (!document.CheckReplacement(checked.section.team, text).valid())
      __builtin_trap();
  }
  pollenrudder::DaemonSettings::Parse(text);
  return 0;
}
