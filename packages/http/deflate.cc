// Deflate() and Inflate(), implemented with zlib.

#include "http/deflate.h"

#include <algorithm>
#include <cassert>

#include <zlib.h>

namespace pollenrudder {
namespace {

// Higher levels take several times as long and compress repetitive texts only
// slightly better.
constexpr int kCompressionLevel = 3;
// 32 KiB of history; zlib takes a negative number for the raw format. The
// encoder's memory is released after each text.
constexpr int kRawWindowBits = -15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kInitialOutputBytes = 16384;

void SetInput(z_stream& stream, std::string_view bytes) {
  // zlib does not change its input, but its interface lacks the const.
  stream.next_in =
      const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
}

void SetOutput(z_stream& stream, std::string& bytes, std::size_t used) {
  stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + used);
  stream.avail_out = static_cast<uInt>(bytes.size() - used);
}

}  // namespace

std::string Deflate(std::string_view text) {
  z_stream stream{};
  [[maybe_unused]] int result =
      deflateInit2(&stream, kCompressionLevel, Z_DEFLATED, kRawWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY);
  assert(result == Z_OK);
  std::string bytes(deflateBound(&stream, text.size()), '\0');
  SetInput(stream, text);
  SetOutput(stream, bytes, 0);
  // `bytes` is large enough for the whole output, so one call suffices.
  result = deflate(&stream, Z_FINISH);
  assert(result == Z_STREAM_END);
  bytes.resize(stream.total_out);
  deflateEnd(&stream);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_size) {
  z_stream stream{};
  if (inflateInit2(&stream, kRawWindowBits) != Z_OK)
    return std::nullopt;
  SetInput(stream, bytes);
  std::string text;
  int result = Z_OK;
  // Ends with Z_BUF_ERROR if the input is incomplete.
  while (result == Z_OK && text.size() < max_size) {
    text.resize(
        std::min(max_size, std::max(kInitialOutputBytes, 2 * text.size())));
    SetOutput(stream, text, stream.total_out);
    result = inflate(&stream, Z_SYNC_FLUSH);
    if (result == Z_OK && stream.avail_out > 0)
      result = Z_BUF_ERROR;
  }
  text.resize(stream.total_out);
  inflateEnd(&stream);
  if (result != Z_STREAM_END)
    return std::nullopt;
  return text;
}

}  // namespace pollenrudder
