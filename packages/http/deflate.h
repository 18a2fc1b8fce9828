// Compression of texts that instances send to each other.

#ifndef POLLENRUDDER_HTTP_DEFLATE_H_
#define POLLENRUDDER_HTTP_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pollenrudder {

// Returns `text` in the raw deflate format (RFC 1951).
std::string Deflate(std::string_view text);

// Decompresses the output of Deflate(). Returns nothing if `bytes` are
// malformed or the text would exceed `max_size` bytes.
std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_size);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_HTTP_DEFLATE_H_
