// Tests of the selection of voters and of the rendezvous rank.

#include "ownership/voter_selection.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "ownership/rendezvous_score.h"

namespace pollenrudder {
namespace {

ListedInstance Entry(const std::string& name,
                     const std::string& zone,
                     const std::string& region) {
  ListedInstance instance;
  instance.name = name;
  instance.zone = zone;
  instance.region = region;
  return instance;
}

VoterSelectionInput MakeInput() {
  VoterSelectionInput input;
  input.leader = "a0.1";
  input.zone = "a";
  input.region = "east";
  for (int index = 0; index < 6; ++index) {
    const std::string suffix = std::to_string(index) + ".1";
    input.instances.push_back(Entry("a" + suffix, "a", "east"));
    input.instances.push_back(Entry("b" + suffix, "b", "east"));
    input.instances.push_back(Entry("c" + suffix, "c", "west"));
    input.instances.push_back(Entry("d" + suffix, "d", "west"));
  }
  return input;
}

std::set<std::string> Names(const std::vector<Voter>& voters) {
  std::set<std::string> names;
  for (const Voter& voter : voters)
    names.insert(voter.instance);
  return names;
}

// Voters of a single zone would fail together.
TEST_CASE("voters are in the zone of the leader and in two other zones") {
  const std::vector<Voter> voters = SelectVoters(MakeInput());
  std::map<std::string, int> by_zone;
  for (const Voter& voter : voters)
    ++by_zone[voter.zone];
  REQUIRE(voters.size() == 5);
  REQUIRE(by_zone["a"] == 3);
  REQUIRE(by_zone["b"] == 1);
  REQUIRE(by_zone["c"] + by_zone["d"] == 1);
  REQUIRE_FALSE(Names(voters).contains("a0.1"));
}

// Otherwise each change of the instance list would revise every term.
TEST_CASE("a changed instance list replaces only the voters that are gone") {
  VoterSelectionInput input = MakeInput();
  input.current = SelectVoters(input);
  const std::set<std::string> before = Names(input.current);

  input.instances.push_back(Entry("a9.1", "a", "east"));
  input.instances.push_back(Entry("b9.1", "b", "east"));
  REQUIRE(Names(SelectVoters(input)) == before);

  const std::string removed = *before.begin();
  SECTION("removed") {
    std::erase_if(input.instances, [&](const ListedInstance& instance) {
      return instance.name == removed;
    });
  }
  SECTION("restarted under a new identity") {
    for (ListedInstance& instance : input.instances) {
      if (instance.name == removed)
        instance.name = "a1.2";
    }
  }
  SECTION("leaving") {
    for (ListedInstance& instance : input.instances)
      instance.leaving = instance.leaving || instance.name == removed;
  }
  SECTION("silent") {
    input.unresponsive = {removed};
  }
  const std::set<std::string> after = Names(SelectVoters(input));
  REQUIRE(after.size() == before.size());
  std::vector<std::string> kept;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(kept));
  REQUIRE(kept.size() == before.size() - 1);
  REQUIRE_FALSE(after.contains(removed));
}

// Without any same-zone voter, no instance of the zone could replace the
// leader.
TEST_CASE("unresponsive instances are voters only if no other remains") {
  VoterSelectionInput input;
  input.leader = "a0.1";
  input.zone = "a";
  input.region = "east";
  input.instances = {Entry("a0.1", "a", "east"), Entry("a1.1", "a", "east"),
                     Entry("c1.1", "c", "west")};
  input.unresponsive = {"a1.1", "c1.1"};
  REQUIRE(Names(SelectVoters(input)) == std::set<std::string>{"a1.1", "c1.1"});
  input.instances.push_back(Entry("a2.1", "a", "east"));
  REQUIRE(Names(SelectVoters(input)) == std::set<std::string>{"a2.1", "c1.1"});
}

// Otherwise a leader would append a revision for each instance of a zone that
// is cut off.
TEST_CASE("a zone with two unresponsive instances has no voter") {
  VoterSelectionInput input = MakeInput();
  input.unresponsive = {"b0.1", "b1.1"};
  for (const Voter& voter : SelectVoters(input))
    REQUIRE(voter.zone != "b");
}

// Two candidates of the same rank would claim at the same time.
TEST_CASE("rendezvous ranks are a permutation") {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  std::set<std::size_t> ranks;
  for (const std::string& name : names)
    ranks.insert(RendezvousRank("u", name, names));
  REQUIRE(ranks == std::set<std::size_t>{0, 1, 2, 3});
}

}  // namespace
}  // namespace pollenrudder
