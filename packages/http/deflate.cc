// Deflate() and Inflate(), implemented with Boost.Beast's zlib.

#include "http/deflate.h"

#include <algorithm>
#include <cassert>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace pollenrudder {
namespace {

namespace zlib = boost::beast::zlib;

// Higher levels take several times as long and compress repetitive texts only
// slightly better.
constexpr int kCompressionLevel = 3;
// 32 KiB of history. The encoder's memory is released after each text.
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kInitialOutputBytes = 16384;

}  // namespace

std::string Deflate(std::string_view text) {
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
               zlib::Strategy::normal);
  std::string bytes(stream.upper_bound(text.size()), '\0');
  zlib::z_params step;
  step.next_in = text.data();
  step.avail_in = text.size();
  step.next_out = bytes.data();
  step.avail_out = bytes.size();
  boost::system::error_code error;
  // `bytes` is large enough for the whole output, so one call suffices.
  stream.write(step, zlib::Flush::finish, error);
  assert(error == zlib::error::end_of_stream);
  bytes.resize(step.total_out);
  return bytes;
}

std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_size) {
  zlib::inflate_stream stream;
  std::string text;
  zlib::z_params step;
  step.next_in = bytes.data();
  step.avail_in = bytes.size();
  boost::system::error_code error;
  while (error != zlib::error::end_of_stream) {
    if (text.size() >= max_size)
      return std::nullopt;
    text.resize(
        std::min(max_size, std::max(kInitialOutputBytes, 2 * text.size())));
    step.next_out = text.data() + step.total_out;
    step.avail_out = text.size() - step.total_out;
    stream.write(step, zlib::Flush::sync, error);
    if (error && error != zlib::error::end_of_stream)
      return std::nullopt;
    // The input ended before the end of the compressed stream.
    if (!error && step.avail_out > 0)
      return std::nullopt;
  }
  text.resize(step.total_out);
  return text;
}

}  // namespace pollenrudder
