// Tests of RouterConfiguration.

#include "fleet/router_configuration.h"

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

Route MakeRoute(std::string host, std::string prefix) {
  Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{"geodata", 1}};
  return route;
}

TEST_CASE("RouterConfiguration chooses the longest prefix of the host") {
  RouterConfiguration configuration;
  configuration.AddRoute(MakeRoute("a.example", "/x/"));
  configuration.AddRoute(MakeRoute("a.example", "/x/y/"));
  configuration.AddRoute(MakeRoute("b.example", "/"));
  REQUIRE(configuration.FindRoute("a.example", "/x/y/1") != nullptr);
  CHECK(configuration.FindRoute("a.example", "/x/y/1")->name ==
        "a.example/x/y/");
  CHECK(configuration.FindRoute("a.example:80", "/x/z")->name ==
        "a.example/x/");
  // "/xy" does not begin with "/x/".
  CHECK(configuration.FindRoute("a.example", "/xy") == nullptr);
  CHECK(configuration.FindRoute("c.example", "/x/y/1") == nullptr);
  CHECK(configuration.route_count() == 3);
}

TEST_CASE("Route splits requests by weight") {
  Route route = MakeRoute("a.example", "/");
  route.services = {{"one", 90}, {"two", 10}};
  int first = 0;
  for (int draw = 0; draw < 1000; ++draw)
    first += route.ServiceFor(draw / 1000.0) == "one" ? 1 : 0;
  CHECK(first == 900);
}

}  // namespace
}  // namespace pollenrudder
