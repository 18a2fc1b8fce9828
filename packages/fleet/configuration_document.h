// A configuration as the platform wrote it.

#ifndef POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_
#define POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

// What a RouterConfiguration was decoded from, so that one instance can pass it
// on to others.
struct ConfigurationDocument {
  std::uint64_t version = 0;
  // The position on the platform's log after this document.
  std::uint64_t position = 0;
  std::string text;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_
