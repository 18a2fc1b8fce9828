// Tests of the encoding of relayed updates.

#include "entry/relayed_update.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

RelayedUpdate SampleUpdate() {
  ListedUpstream entry;
  entry.name = "i-1";
  entry.service = "soil";
  entry.address = "10.0.0.1:80";
  entry.zone = "a1";
  entry.slots = 4;
  entry.leaving = true;
  entry.cold_remaining = std::chrono::milliseconds(250);
  entry.started_at = std::chrono::milliseconds(17);
  RelayedUpdate update;
  update.list_from = 3;
  update.list_to = 9;
  ListedUpstream outdated = entry;
  outdated.name = "i-3";
  outdated.may_be_outdated = true;
  update.changes = {{"i-1", entry}, {"i-2", std::nullopt}, {"i-3", outdated}};
  update.configuration_version = 12;
  update.grant_log_offset = 40;
  update.configuration_sources = {{"a1", "10.0.0.2:7620"}};
  update.instances = 295;
  update.zone_relays = {{"a1", "10.0.0.3:7620"}, {"b1", "10.0.1.3:7620"}};
  update.evacuations_position = 31;
  update.evacuated_zones = {"a1", "b1"};
  update.list_age = std::chrono::milliseconds(30);
  update.evacuations_age = std::chrono::milliseconds(450);
  return update;
}

TEST_CASE("A relayed update is parsed as it was encoded") {
  const RelayedUpdate update = SampleUpdate();
  const auto parsed = ParseRelayedUpdate(EncodeRelayedUpdate(update));
  REQUIRE(parsed);
  CHECK(parsed->list_from == update.list_from);
  CHECK(parsed->list_to == update.list_to);
  REQUIRE(parsed->changes.size() == 3);
  REQUIRE(parsed->changes[0].entry);
  CHECK(parsed->changes[0].entry->SameIncarnation(*update.changes[0].entry));
  CHECK(parsed->changes[0].entry->address == "10.0.0.1:80");
  CHECK(parsed->changes[0].entry->leaving);
  CHECK_FALSE(parsed->changes[0].entry->may_be_outdated);
  CHECK_FALSE(parsed->changes[1].entry);
  REQUIRE(parsed->changes[2].entry);
  CHECK(parsed->changes[2].entry->may_be_outdated);
  CHECK(parsed->configuration_version == 12);
  CHECK(parsed->grant_log_offset == 40);
  CHECK(parsed->configuration_sources == update.configuration_sources);
  CHECK(parsed->instances == 295);
  CHECK(parsed->zone_relays == update.zone_relays);
  CHECK(parsed->evacuations_position == 31);
  CHECK(parsed->evacuated_zones == update.evacuated_zones);
  CHECK(parsed->list_age == update.list_age);
  CHECK(parsed->evacuations_age == update.evacuations_age);
}

// Guards against a sender that has never read the zones, or a damaged age, that
// passes for recent knowledge.
TEST_CASE("A relayed update without ages tells none") {
  RelayedUpdate update = SampleUpdate();
  update.list_age.reset();
  update.evacuations_age.reset();
  const auto parsed = ParseRelayedUpdate(EncodeRelayedUpdate(update));
  REQUIRE(parsed);
  CHECK_FALSE(parsed->list_age);
  CHECK_FALSE(parsed->evacuations_age);
  const auto earlier = ParseRelayedUpdate(
      R"([10,12,[],3,40,{},4,{},["10.0.0.1:7620"],7,["a1"]])");
  REQUIRE(earlier);
  CHECK_FALSE(earlier->list_age);
  const auto negative = ParseRelayedUpdate(
      R"([10,12,[],3,40,{},4,{},["10.0.0.1:7620"],7,["a1"],-5,null])");
  REQUIRE(negative);
  CHECK(negative->list_age == std::chrono::milliseconds(0));
}

// Guards against zones that are taken back by an update whose sender does not
// know of evacuations.
TEST_CASE("A relayed update of an earlier version tells no evacuated zones") {
  const auto parsed =
      ParseRelayedUpdate(R"([10,12,[],3,40,{},4,{},["10.0.0.1:7620"]])");
  REQUIRE(parsed);
  CHECK(parsed->peers.size() == 1);
  CHECK(parsed->evacuations_position == 0);
}

// Guards against a damaged datagram that stops the instance.
TEST_CASE("A damaged relayed update is rejected") {
  const std::string text = EncodeRelayedUpdate(SampleUpdate());
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_FALSE(ParseRelayedUpdate(text.substr(0, size)));
  CHECK_FALSE(ParseRelayedUpdate("[1,2,3,4,5,6]"));
  CHECK_FALSE(ParseRelayedUpdate("{}"));
}

}  // namespace
}  // namespace pollenrudder
