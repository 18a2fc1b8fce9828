// The encoded form of a RouterConfiguration.

#ifndef POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_
#define POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

// A configuration as the platform stores it, kept so that one instance can send
// it to others.
struct ConfigurationDocument {
  std::uint64_t version = 0;
  // The position after this document in the platform's log.
  std::uint64_t position = 0;
  std::string text;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_FLEET_CONFIGURATION_DOCUMENT_H_
