// The files of a TLS endpoint.

#ifndef POLLENRUDDER_DOCUMENT_TLS_FILES_H_
#define POLLENRUDDER_DOCUMENT_TLS_FILES_H_

#include <string>

namespace pollenrudder {

// Paths of PEM files. Each is read again when it changes.
struct TlsFiles {
  std::string certificate;
  std::string key;
  // Signs the certificates of the other side; required between instances.
  std::string authority;

  bool operator==(const TlsFiles&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_TLS_FILES_H_
