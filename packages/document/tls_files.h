// Certificate files of a TLS endpoint.

#ifndef POLLENRUDDER_DOCUMENT_TLS_FILES_H_
#define POLLENRUDDER_DOCUMENT_TLS_FILES_H_

#include <string>

namespace pollenrudder {

// Paths of PEM files, which are reloaded when they change.
struct TlsFiles {
  std::string certificate;
  std::string key;
  // Certificate authority that signs the remote side's certificates. Required
  // between instances.
  std::string authority;

  bool operator==(const TlsFiles&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_TLS_FILES_H_
