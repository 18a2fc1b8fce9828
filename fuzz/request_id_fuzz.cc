// Fuzz target: request ids of any content.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "routing/request_id.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto id = pollenrudder::RequestId::Parse(text);
  // Each id has exactly one text form.
  if (id && id.value().ToText() != text)
    __builtin_trap();
  return 0;
}
