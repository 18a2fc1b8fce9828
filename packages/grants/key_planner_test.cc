// Tests of KeyPlanner. Each names the load pattern that it covers.

#include "grants/key_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

BootTime At(std::chrono::milliseconds time) {
  return BootTime(10s + time);
}

std::vector<KeyOwnerCandidate> Candidates(int count) {
  std::vector<KeyOwnerCandidate> candidates;
  candidates.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    candidates.push_back(
        {{"u" + std::to_string(index), std::chrono::milliseconds(1)}, 2});
  }
  return candidates;
}

// Applies the moves as if they took effect at once.
void Apply(KeyTable& table, const std::vector<KeyMove>& moves) {
  static std::uint64_t token = 1;
  for (const KeyMove& move : moves) {
    KeyAssignment row;
    row.keys = move.keys;
    row.owner = move.to;
    row.token = token++;
    table.Assign(row);
  }
}

// Simulates upstreams with two slots and a service time of 90 ms.
class Service {
 public:
  explicit Service(const std::vector<KeyOwnerCandidate>& candidates) {
    for (const auto& candidate : candidates)
      load.SetSlots(candidate.incarnation.name, candidate.slots);
  }

  // Simulates and reports one interval of 100 ms.
  void RunInterval(const KeyTable& table,
                   const std::vector<KeyNumber>& keys,
                   BootTime now) {
    constexpr double kServed = 2 * 100.0 / 90.0;
    ServiceLoad report;
    report.keys = keys;
    for (const KeyNumber key : keys)
      backlog_[table.Find(key)->owner.name] += 1;
    for (auto& [name, queued] : backlog_) {
      credit_[name] = std::min(credit_[name] + kServed, kServed + 1);
      const double answered = std::floor(std::min(queued, credit_[name]));
      // The mean number of requests in service or queued.
      const double outstanding = std::ceil(queued * 0.9);
      queued -= answered;
      credit_[name] -= answered;
      report.upstreams[name] = {static_cast<std::uint32_t>(outstanding),
                                static_cast<std::uint32_t>(answered)};
    }
    load.Add("front", report, now);
  }

  KeyLoad load;

 private:
  std::map<std::string, double> backlog_;
  std::map<std::string, double> credit_;
};

std::map<std::string, int> CountByOwner(const KeyTable& table,
                                        const std::vector<KeyNumber>& keys) {
  std::map<std::string, int> counts;
  for (const KeyNumber key : keys)
    ++counts[table.Find(key)->owner.name];
  return counts;
}

int CountOfBusiest(const std::map<std::string, int>& counts) {
  int most = 0;
  for (const auto& [name, count] : counts)
    most = std::max(most, count);
  return most;
}

TEST_CASE("KeyPlanner distributes all keys evenly over the first upstreams") {
  KeyTable table;
  KeyLoad load;
  const auto moves = KeyPlanner::Plan(table, Candidates(4), {}, load, At(0ms));
  Apply(table, moves);
  CHECK(table.Gaps().empty());
  std::map<std::string, std::uint32_t> sizes;
  for (const KeyAssignment& row : table.rows())
    sizes[row.owner.name] += row.keys.size();
  REQUIRE(sizes.size() == 4);
  for (const auto& [name, size] : sizes)
    CHECK(size == kKeyCount / 4);
}

// Load pattern: hot keys. 40% of 200 requests a second are for 60 adjacent
// keys, which exceeds the capacity of their owner. Within half a second,
// several upstreams must share these requests.
TEST_CASE("KeyPlanner distributes adjacent hot keys") {
  KeyTable table;
  const auto candidates = Candidates(15);
  Service service(candidates);
  KeyLoad& load = service.load;
  Apply(table, KeyPlanner::Plan(table, candidates, {}, load, At(0ms)));
  std::mt19937 random(7);
  std::uniform_int_distribution<int> any_key(0, kKeyCount - 1);
  std::uniform_int_distribution<int> hot_key(30000, 30059);
  std::vector<KeyNumber> hot_keys;
  std::size_t moves = 0;
  for (auto time = 100ms; time <= 1500ms; time += 100ms) {
    std::vector<KeyNumber> keys;
    for (int request = 0; request < 20; ++request) {
      const bool is_hot = time > 1000ms && request < 8;
      keys.push_back(
          static_cast<KeyNumber>(is_hot ? hot_key(random) : any_key(random)));
      if (is_hot)
        hot_keys.push_back(keys.back());
    }
    service.RunInterval(table, keys, At(time));
    const auto plan = KeyPlanner::Plan(table, candidates, {}, load, At(time));
    moves += plan.size();
    Apply(table, plan);
  }
  const auto counts = CountByOwner(table, hot_keys);
  const int most = CountOfBusiest(counts);
  INFO("owners " << counts.size() << ", busiest " << most << " of "
                 << hot_keys.size() << ", moves " << moves);
  CHECK(counts.size() >= 3);
  CHECK(most < static_cast<int>(hot_keys.size()) / 2);
}

// Load pattern: one key whose load exceeds the capacity of any upstream, beside
// a separate group of hot keys. The single key must end up with an upstream of
// its own and must not prevent the distribution of the others.
TEST_CASE(
    "KeyPlanner distributes hot keys beside a key that overloads its owner") {
  KeyTable table;
  const auto candidates = Candidates(15);
  Service service(candidates);
  KeyLoad& load = service.load;
  Apply(table, KeyPlanner::Plan(table, candidates, {}, load, At(0ms)));
  std::mt19937 random(7);
  std::uniform_int_distribution<int> any_key(0, kKeyCount - 1);
  std::uniform_int_distribution<int> hot_key(50000, 50059);
  constexpr KeyNumber kOverloadedKey = 20000;
  std::vector<KeyNumber> hot_keys;
  for (auto time = 100ms; time <= 2500ms; time += 100ms) {
    std::vector<KeyNumber> keys;
    keys.reserve(36);
    for (int request = 0; request < 20; ++request)
      keys.push_back(static_cast<KeyNumber>(any_key(random)));
    for (int request = 0; time > 1000ms && request < 8; ++request) {
      keys.push_back(kOverloadedKey);
      keys.push_back(static_cast<KeyNumber>(hot_key(random)));
      hot_keys.push_back(keys.back());
    }
    service.RunInterval(table, keys, At(time));
    Apply(table, KeyPlanner::Plan(table, candidates, {}, load, At(time)));
  }
  const auto counts = CountByOwner(table, hot_keys);
  const int most = CountOfBusiest(counts);
  INFO("owners " << counts.size() << ", busiest " << most << " of "
                 << hot_keys.size());
  CHECK(counts.size() >= 4);
  CHECK(most < static_cast<int>(hot_keys.size()) / 2);
  // Only few other keys share an upstream with the overloaded key.
  std::uint32_t keys_beside = 0;
  for (const KeyAssignment& row : table.rows()) {
    if (row.owner == table.Find(kOverloadedKey)->owner)
      keys_beside += row.keys.size();
  }
  CHECK(keys_beside < kKeyCount / 15);
}

// Load pattern: hot keys right after the loss of the grant leader. Keys that
// cannot change owners soon stay with an overloaded owner, because otherwise no
// upstream would serve them.
TEST_CASE("KeyPlanner leaves pinned rows with their owner") {
  KeyTable table;
  auto candidates = Candidates(4);
  Service service(candidates);
  Apply(table, KeyPlanner::Plan(table, candidates, {}, service.load, At(0ms)));
  std::vector<KeyRange> all;
  for (const KeyAssignment& row : table.rows())
    all.push_back(row.keys);
  for (auto time = 100ms; time <= 1000ms; time += 100ms) {
    service.RunInterval(table, std::vector<KeyNumber>{1, 2, 3, 4, 5, 6, 7, 8},
                        At(time));
  }
  CHECK_FALSE(KeyPlanner::Plan(table, candidates, {}, service.load, At(1000ms))
                  .empty());
  CHECK(KeyPlanner::Plan(table, candidates, all, service.load, At(1000ms))
            .empty());
  const std::string lost = table.Find(1)->owner.name;
  std::erase_if(candidates, [&](const KeyOwnerCandidate& candidate) {
    return candidate.incarnation.name == lost;
  });
  CHECK_FALSE(KeyPlanner::Plan(table, candidates, all, service.load, At(1000ms))
                  .empty());
}

// Load pattern: a steady load below the capacity of the upstreams. Moves would
// only interrupt service.
TEST_CASE("KeyPlanner plans no moves for a balanced load") {
  KeyTable table;
  const auto candidates = Candidates(15);
  Service service(candidates);
  KeyLoad& load = service.load;
  Apply(table, KeyPlanner::Plan(table, candidates, {}, load, At(0ms)));
  std::mt19937 random(11);
  std::uniform_int_distribution<int> any_key(0, kKeyCount - 1);
  std::size_t moves = 0;
  for (auto time = 100ms; time <= 5000ms; time += 100ms) {
    std::vector<KeyNumber> keys;
    keys.reserve(10);
    for (int request = 0; request < 10; ++request)
      keys.push_back(static_cast<KeyNumber>(any_key(random)));
    service.RunInterval(table, keys, At(time));
    moves += KeyPlanner::Plan(table, candidates, {}, load, At(time)).size();
  }
  CHECK(moves == 0);
}

// Load pattern: a lost upstream. Its keys must go to several upstreams.
TEST_CASE("KeyPlanner distributes the keys of a lost upstream") {
  KeyTable table;
  KeyLoad load;
  auto candidates = Candidates(4);
  Apply(table, KeyPlanner::Plan(table, candidates, {}, load, At(0ms)));
  candidates.erase(candidates.begin());
  const auto moves = KeyPlanner::Plan(table, candidates, {}, load, At(100ms));
  std::map<std::string, int> targets;
  std::uint32_t moved = 0;
  for (const KeyMove& move : moves) {
    ++targets[move.to.name];
    moved += move.keys.size();
  }
  CHECK(moved == kKeyCount / 4);
  CHECK(targets.size() == 3);
}

// Load pattern: scale-out. A new upstream must get keys.
TEST_CASE("KeyPlanner gives keys to an upstream without keys") {
  KeyTable table;
  KeyLoad load;
  Apply(table, KeyPlanner::Plan(table, Candidates(3), {}, load, At(0ms)));
  const auto moves =
      KeyPlanner::Plan(table, Candidates(4), {}, load, At(100ms));
  REQUIRE(moves.size() == 1);
  CHECK(moves[0].to.name == "u3");
}

}  // namespace
}  // namespace pollenrudder
