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

TEST_CASE("RoutePlan chooses the longest prefix of the host") {
  RouterConfiguration plan;
  plan.AddRoute(MakeRoute("a.example", "/x/"));
  plan.AddRoute(MakeRoute("a.example", "/x/y/"));
  plan.AddRoute(MakeRoute("b.example", "/"));
  REQUIRE(plan.FindRoute("a.example", "/x/y/1") != nullptr);
  CHECK(plan.FindRoute("a.example", "/x/y/1")->name == "a.example/x/y/");
  CHECK(plan.FindRoute("a.example:80", "/x/z")->name == "a.example/x/");
  // "/xy" is not below "/x/".
  CHECK(plan.FindRoute("a.example", "/xy") == nullptr);
  CHECK(plan.FindRoute("c.example", "/x/y/1") == nullptr);
  CHECK(plan.route_count() == 3);
}

TEST_CASE("Route shares requests by weight") {
  Route route = MakeRoute("a.example", "/");
  route.services = {{"one", 90}, {"two", 10}};
  int first = 0;
  for (int draw = 0; draw < 1000; ++draw)
    first += route.ServiceFor(draw / 1000.0) == "one" ? 1 : 0;
  CHECK(first == 900);
}

}  // namespace
}  // namespace pollenrudder
