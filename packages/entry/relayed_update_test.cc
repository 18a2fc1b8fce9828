// Tests of the datagrams between instances.

#include "entry/relayed_update.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

RelayedUpdate SomeNews() {
  ListedUpstream entry;
  entry.name = "i-1";
  entry.service = "soil";
  entry.address = "10.0.0.1:80";
  entry.zone = "a1";
  entry.slots = 4;
  entry.leaving = true;
  entry.cold_remaining = std::chrono::milliseconds(250);
  entry.started_at = std::chrono::milliseconds(17);
  RelayedUpdate news;
  news.list_from = 3;
  news.list_to = 9;
  news.changes = {{"i-1", entry}, {"i-2", std::nullopt}};
  news.configuration_version = 12;
  news.grant_log_offset = 40;
  news.configuration_sources = {{"a1", "10.0.0.2:7620"}};
  return news;
}

TEST_CASE("Relayed news survive encoding") {
  const RelayedUpdate news = SomeNews();
  const auto parsed = ParseRelayedUpdate(EncodeRelayedUpdate(news));
  REQUIRE(parsed);
  CHECK(parsed->list_from == news.list_from);
  CHECK(parsed->list_to == news.list_to);
  REQUIRE(parsed->changes.size() == 2);
  REQUIRE(parsed->changes[0].entry);
  CHECK(parsed->changes[0].entry->SameIncarnation(*news.changes[0].entry));
  CHECK(parsed->changes[0].entry->address == "10.0.0.1:80");
  CHECK(parsed->changes[0].entry->leaving);
  CHECK_FALSE(parsed->changes[1].entry);
  CHECK(parsed->configuration_version == 12);
  CHECK(parsed->grant_log_offset == 40);
  CHECK(parsed->configuration_sources == news.configuration_sources);
}

// Guards against an instance that is stopped by a damaged datagram.
TEST_CASE("Damaged news are refused") {
  const std::string text = EncodeRelayedUpdate(SomeNews());
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(ParseRelayedUpdate(text.substr(0, size)));
  CHECK_FALSE(ParseRelayedUpdate("[1,2,3,4,5,6]"));
  CHECK_FALSE(ParseRelayedUpdate("{}"));
}

}  // namespace
}  // namespace pollenrudder
