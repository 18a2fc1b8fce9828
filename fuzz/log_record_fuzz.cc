// Fuzz target: decodes arbitrary log records and applies them to a table.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "ownership/log_record.h"
#include "ownership/ownership_table.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto record = pollenrudder::DecodeLogRecord(text);
  if (!record)
    return 0;
  // Encoding and decoding a valid record must not change it.
  const std::string encoded = pollenrudder::EncodeLogRecord(record.value());
  const auto decoded_again = pollenrudder::DecodeLogRecord(encoded);
  if (!decoded_again ||
      pollenrudder::EncodeLogRecord(decoded_again.value()) != encoded)
    __builtin_trap();
  pollenrudder::OwnershipTable table{pollenrudder::LeaseDurations{}};
  table.Apply(1, text);
  table.Apply(2, text);
  return 0;
}
