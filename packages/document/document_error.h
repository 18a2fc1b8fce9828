// Error type of the parsers of sections and settings.

#ifndef POLLENRUDDER_DOCUMENT_DOCUMENT_ERROR_H_
#define POLLENRUDDER_DOCUMENT_DOCUMENT_ERROR_H_

#include <cstddef>
#include <string>

namespace pollenrudder {

// An error and its position in the text. Lines and columns count from 1; 0
// means that the error has no single position.
struct DocumentError {
  std::size_t line = 0;
  std::size_t column = 0;
  std::string message;

  bool operator==(const DocumentError&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_DOCUMENT_ERROR_H_
