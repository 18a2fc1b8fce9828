// The command line of a stand-in.

#ifndef POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_
#define POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_

#include <string>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

namespace pollenrudder {

// `pollenrudder_standin KIND [--listen [NAME=]IP:PORT]... [--link
// NAME=TARGET]... [--set JSON]`. Settings given by --set are the same that
// POST /standin/set accepts.
struct StandinOptions {
  std::string kind;
  // Name and address of each listener. Callers of a named listener can be cut
  // off by that name.
  std::vector<std::pair<std::string, std::string>> listeners;
  std::vector<std::pair<std::string, std::string>> links;
  boost::json::object settings;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_STANDINS_STANDIN_OPTIONS_H_
