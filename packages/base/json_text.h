// Converts Boost.JSON strings to std::string. Include it only in packages that
// use Boost.JSON.

#ifndef POLLENRUDDER_BASE_JSON_TEXT_H_
#define POLLENRUDDER_BASE_JSON_TEXT_H_

#include <string>

#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

namespace pollenrudder {

// Returns the text of a JSON string. Throws the exception of Boost.JSON if
// `value` is of another type.
inline std::string JsonText(const boost::json::value& value) {
  const boost::json::string& text = value.as_string();
  return {text.data(), text.size()};
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_JSON_TEXT_H_
