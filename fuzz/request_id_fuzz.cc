// Fuzz target: parses arbitrary request ids.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "routing/request_id.h"

namespace {

// Random input rarely has a valid checksum, so ids with random fields are
// encoded and parsed as well.
void CheckRoundTrip(std::string_view text) {
  pollenrudder::RequestId id;
  const std::size_t half = text.size() / 2;
  id.service = std::string(text.substr(0, half)) + "s";
  id.upstream = std::string(text.substr(half)) + "u";
  id.shard = static_cast<std::uint32_t>(text.size());
  id.epoch = std::hash<std::string_view>()(text);
  id.sequence = half;
  const std::string encoded = id.ToText();
  const auto decoded = pollenrudder::RequestId::Parse(encoded);
  if (encoded.size() <= pollenrudder::RequestId::kMaxTextBytes &&
      (!decoded || !(decoded.value() == id)))
    __builtin_trap();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  CheckRoundTrip(text);
  const auto id = pollenrudder::RequestId::Parse(text);
  // Each id has exactly one text form.
  if (id && id.value().ToText() != text)
    __builtin_trap();
  return 0;
}
