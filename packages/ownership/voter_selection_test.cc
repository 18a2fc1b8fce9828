// Tests of SelectVoters() and the rendezvous rank.

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

VoterSelectionInput Candidates() {
  VoterSelectionInput candidates;
  candidates.leader = "a0.1";
  candidates.zone = "a";
  candidates.region = "east";
  for (int index = 0; index < 6; ++index) {
    const std::string suffix = std::to_string(index) + ".1";
    candidates.instances.push_back(Entry("a" + suffix, "a", "east"));
    candidates.instances.push_back(Entry("b" + suffix, "b", "east"));
    candidates.instances.push_back(Entry("c" + suffix, "c", "west"));
    candidates.instances.push_back(Entry("d" + suffix, "d", "west"));
  }
  return candidates;
}

std::set<std::string> Names(const std::vector<Voter>& voters) {
  std::set<std::string> names;
  for (const Voter& voter : voters)
    names.insert(voter.instance);
  return names;
}

// Guards against voters that fail together.
TEST_CASE("voters are zone peers and instances of two other zones") {
  const std::vector<Voter> voters = SelectVoters(Candidates());
  std::map<std::string, int> by_zone;
  for (const Voter& voter : voters)
    ++by_zone[voter.zone];
  REQUIRE(voters.size() == 5);
  REQUIRE(by_zone["a"] == 3);
  REQUIRE(by_zone["b"] == 1);
  REQUIRE(by_zone["c"] + by_zone["d"] == 1);
  REQUIRE_FALSE(Names(voters).contains("a0.1"));
}

// Guards against a revise of every term whenever the instance list changes.
TEST_CASE("a changed list replaces only the voters that are gone") {
  VoterSelectionInput candidates = Candidates();
  candidates.current = SelectVoters(candidates);
  const std::set<std::string> before = Names(candidates.current);

  candidates.instances.push_back(Entry("a9.1", "a", "east"));
  candidates.instances.push_back(Entry("b9.1", "b", "east"));
  REQUIRE(Names(SelectVoters(candidates)) == before);

  const std::string removed = *before.begin();
  SECTION("removed") {
    std::erase_if(candidates.instances, [&](const ListedInstance& instance) {
      return instance.name == removed;
    });
  }
  SECTION("restarted under a new identity") {
    for (ListedInstance& instance : candidates.instances) {
      if (instance.name == removed)
        instance.name = "a1.2";
    }
  }
  SECTION("leaving") {
    for (ListedInstance& instance : candidates.instances)
      instance.leaving = instance.leaving || instance.name == removed;
  }
  SECTION("silent") {
    candidates.unresponsive = {removed};
  }
  const std::set<std::string> after = Names(SelectVoters(candidates));
  REQUIRE(after.size() == before.size());
  std::vector<std::string> kept;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(kept));
  REQUIRE(kept.size() == before.size() - 1);
  REQUIRE_FALSE(after.contains(removed));
}

// Guards against a leader that nobody in its zone can replace.
TEST_CASE("silent instances are voters only if no other is left") {
  VoterSelectionInput candidates;
  candidates.leader = "a0.1";
  candidates.zone = "a";
  candidates.region = "east";
  candidates.instances = {Entry("a0.1", "a", "east"),
                          Entry("a1.1", "a", "east"),
                          Entry("c1.1", "c", "west")};
  candidates.unresponsive = {"a1.1", "c1.1"};
  REQUIRE(Names(SelectVoters(candidates)) ==
          std::set<std::string>{"a1.1", "c1.1"});
  candidates.instances.push_back(Entry("a2.1", "a", "east"));
  REQUIRE(Names(SelectVoters(candidates)) ==
          std::set<std::string>{"a2.1", "c1.1"});
}

// Guards against a revise for each instance of a zone that is cut off.
TEST_CASE("a zone with two silent instances has no voter") {
  VoterSelectionInput candidates = Candidates();
  candidates.unresponsive = {"b0.1", "b1.1"};
  for (const Voter& voter : SelectVoters(candidates))
    REQUIRE(voter.zone != "b");
}

// Guards against two candidates with the same rank.
TEST_CASE("rendezvous ranks are a permutation") {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  std::set<std::size_t> ranks;
  for (const std::string& name : names)
    ranks.insert(RendezvousRank("u", name, names));
  REQUIRE(ranks == std::set<std::size_t>{0, 1, 2, 3});
}

}  // namespace
}  // namespace pollenrudder
