// Command line options of pollenrudder_standin.

#ifndef POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_
#define POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_

#include <string>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

namespace pollenrudder {

// `pollenrudder_standin KIND [--listen [NAME=]IP:PORT]... [--link
// NAME=TARGET]... [--set JSON]`. --set takes the same settings as
// POST /standin/set.
struct StandinOptions {
  std::string kind;
  // Name and address of each listener. The setting "cut" refers to the names.
  std::vector<std::pair<std::string, std::string>> listeners;
  std::vector<std::pair<std::string, std::string>> links;
  boost::json::object settings;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_
