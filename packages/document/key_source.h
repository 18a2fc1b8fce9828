// Location of the key in a request.

#ifndef POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_
#define POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

// Names the part of a request that contains the key, for a service that is
// divided by key.
struct KeySource {
  enum class Kind { kHeader, kQuery, kPathSegment };

  Kind kind = Kind::kHeader;
  // The name of the header or query parameter. Empty for kPathSegment.
  std::string name;
  // For kPathSegment, the index of the segment after the service's path prefix,
  // from 0.
  std::uint32_t segment = 0;

  bool operator==(const KeySource&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_KEY_SOURCE_H_
