// Where a service's key stands in a request.

#ifndef POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_
#define POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

// Names the part of a request that is the key of a service divided by key.
struct KeySource {
  enum class Kind { kHeader, kQuery, kPathSegment };

  Kind kind = Kind::kHeader;
  // The header or query parameter; empty for kPathSegment.
  std::string name;
  // The segment after the service's path prefix, from 0, for kPathSegment.
  std::uint32_t segment = 0;

  bool operator==(const KeySource&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_
