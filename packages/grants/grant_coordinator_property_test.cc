// Plays random situations with several duties, upstreams and a store, and
// checks that no key ever has two owners.

#include "grants/grant_coordinator.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int kInstances = 3;
constexpr int kUpstreams = 4;
constexpr int kRuns = 600;
constexpr milliseconds kStep{20};
constexpr milliseconds kLength{30000};

BootTime At(milliseconds time) {
  return BootTime(100s + time);
}

// An upstream that follows the rules of grants, with a clock that may be slow.
struct Upstream {
  struct Grant {
    KeyRange keys;
    std::uint64_t token = 0;
    BootTime until{};
  };
  std::string name;
  bool alive = true;
  milliseconds started_at{1};
  double slowness = 1.0;
  std::vector<Grant> grants;
  // The highest token seen in a grant, by range of keys.
  std::vector<Grant> seen;

  bool HasSeenHigher(const KeyCall& call) const {
    return std::ranges::any_of(seen, [&](const Grant& grant) {
      return grant.keys.Overlaps(call.keys) && grant.token > call.token;
    });
  }

  void StartNewLife() {
    grants.clear();
    seen.clear();
    started_at += 1ms;
  }

  // Returns whether the call was accepted. `arrived` is when the call arrived,
  // `now` when it takes effect.
  bool Apply(const KeyCall& call, BootTime arrived, BootTime now) {
    if (call.kind == KeyCall::Kind::kRelease) {
      std::vector<Grant> rest;
      for (const Grant& grant : grants) {
        if (!grant.keys.Overlaps(call.keys) || grant.token > call.token) {
          rest.push_back(grant);
          continue;
        }
        Grant part = grant;
        if (grant.keys.first < call.keys.first) {
          part.keys = {grant.keys.first,
                       static_cast<KeyNumber>(call.keys.first - 1)};
          rest.push_back(part);
        }
        if (grant.keys.last > call.keys.last) {
          part.keys = {static_cast<KeyNumber>(call.keys.last + 1),
                       grant.keys.last};
          rest.push_back(part);
        }
      }
      grants = std::move(rest);
      return true;
    }
    if (HasSeenHigher(call))
      return false;
    seen.push_back({call.keys, call.token, {}});
    const BootTime until =
        arrived + std::chrono::nanoseconds(static_cast<std::int64_t>(
                      static_cast<double>(call.grant_ttl.count()) * slowness));
    if (until > now)
      grants.push_back({call.keys, call.token, until});
    return true;
  }

  bool Holds(KeyNumber key, BootTime now) const {
    return alive && std::ranges::any_of(grants, [&](const Grant& grant) {
             return grant.keys.Contains(key) && now < grant.until;
           });
  }
};

// What is to happen at a later time, besides the polls.
struct Event {
  BootTime at;
  std::function<void()> run;
};

class World {
 public:
  explicit World(std::uint32_t seed) : random_(seed) {
    for (int index = 0; index < kUpstreams; ++index) {
      Upstream upstream;
      upstream.name = "u" + std::to_string(index);
      upstream.slowness = 1 + 0.02 * Draw();
      upstreams_.push_back(upstream);
    }
    plan_.services["geodata"].owns_keys = true;
    for (int index = 0; index < kInstances; ++index)
      Restart(index, At(0ms));
  }

  // Returns whether every key had at most one owner at all times.
  bool Play() {
    for (milliseconds time{0}; time < kLength; time += kStep) {
      now_ = At(time);
      Disturb();
      RunEvents();
      for (int index = 0; index < kInstances; ++index)
        Step(index);
      if (!HasOneOwnerAKey())
        return false;
      served_ += CountServed();
      ++steps_;
    }
    return true;
  }

  double served_share() const {
    return static_cast<double>(served_) /
           (static_cast<double>(steps_) * static_cast<double>(kProbes.size()));
  }

 private:
  static constexpr std::array<KeyNumber, 5> kProbes{0, 20000, 33000, 50000,
                                                    65535};

  struct Instance {
    std::unique_ptr<GrantCoordinator> duty;
    // It cannot reach the store, or stands still, until then.
    BootTime cut_until{};
    BootTime frozen_until{};
    BootTime next_read{};
    int incarnation = 0;
  };

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Chance(double share) { return Draw() < share; }
  milliseconds Delay(int most) {
    return milliseconds(static_cast<int>(Draw() * most));
  }

  void Restart(int index, BootTime now) {
    Instance& instance = instances_[index];
    ++instance.incarnation;
    GrantCoordinator::Options options;
    options.instance = "front-" + std::to_string(index);
    options.incarnation =
        options.instance + std::to_string(instance.incarnation);
    instance.duty = std::make_unique<GrantCoordinator>(options);
    std::vector<GrantCoordinator::LogEntry> records;
    for (std::size_t offset = 0; offset < log_.size(); ++offset)
      records.push_back({offset, log_[offset]});
    instance.duty->OnLogRecords(records, log_.size(), now, now);
    instance.duty->OnFleet(ListFleet(), plan_, now);
  }

  Fleet ListFleet() const {
    Fleet fleet;
    for (const Upstream& upstream : upstreams_) {
      if (!upstream.alive || hidden_.contains(upstream.name))
        continue;
      ListedUpstream entry;
      entry.name = upstream.name;
      entry.service = "geodata";
      entry.address = "127.0.0.1:1";
      entry.slots = 2;
      entry.started_at = upstream.started_at;
      fleet.Apply({entry.name, entry}, now_);
    }
    return fleet;
  }

  void Disturb() {
    if (Chance(0.004))
      instances_[Pick(kInstances)].cut_until = now_ + Delay(12000);
    if (Chance(0.003))
      instances_[Pick(kInstances)].frozen_until = now_ + Delay(9000);
    if (Chance(0.003))
      Restart(Pick(kInstances), now_);
    if (Chance(0.004))
      turn_ = Pick(kInstances);
    if (Chance(0.004)) {
      const std::string successor = "front-" + std::to_string(Pick(kInstances));
      for (Instance& instance : instances_) {
        if (now_ >= instance.frozen_until)
          instance.duty->TransferLeadership(successor, now_);
      }
    }
    if (Chance(0.004)) {
      Upstream& upstream = upstreams_[Pick(kUpstreams)];
      upstream.alive = !upstream.alive;
      upstream.StartNewLife();
    }
    if (Chance(0.004)) {
      const std::string name = upstreams_[Pick(kUpstreams)].name;
      if (hidden_.erase(name) == 0)
        hidden_.insert(name);
    }
    if (now_ >= next_listing_) {
      next_listing_ = now_ + 500ms;
      for (Instance& instance : instances_) {
        if (now_ >= instance.cut_until && now_ >= instance.frozen_until)
          instance.duty->OnFleet(ListFleet(), plan_, now_);
      }
    }
  }

  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void RunEvents() {
    for (std::size_t index = 0; index < events_.size();) {
      if (events_[index].at > now_) {
        ++index;
        continue;
      }
      const auto run = events_[index].run;
      events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(index));
      run();
    }
  }

  void Later(milliseconds delay, std::function<void()> run) {
    events_.push_back({now_ + delay, std::move(run)});
  }

  // Calls the duty of this life only, and not while it stands still.
  void Tell(int index,
            int incarnation,
            const std::function<void(GrantCoordinator&)>& tell) {
    Instance& instance = instances_[index];
    if (instance.incarnation != incarnation)
      return;
    if (now_ < instance.frozen_until) {
      events_.push_back({instance.frozen_until,
                         [=, this] { Tell(index, incarnation, tell); }});
      return;
    }
    tell(*instance.duty);
  }

  void Step(int index) {
    Instance& instance = instances_[index];
    if (now_ < instance.frozen_until)
      return;
    const bool reaches_store = now_ >= instance.cut_until;
    if (reaches_store &&
        (now_ >= instance.next_read || instance.duty->NeedsLog())) {
      instance.next_read = now_ + 500ms;
      const std::uint64_t from = instance.duty->next_offset();
      std::vector<GrantCoordinator::LogEntry> records;
      for (std::size_t offset = from; offset < log_.size(); ++offset)
        records.push_back({offset, log_[offset]});
      const BootTime sent_at = now_;
      const std::uint64_t end = log_.size();
      const int incarnation = instance.incarnation;
      const bool mine = turn_ == index;
      Later(Delay(300), [=, this] {
        Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
          duty.OnLogRecords(records, end, sent_at, now_);
          duty.OnPreferredLeader(mine, sent_at, now_);
        });
      });
    }
    const GrantActions actions = instance.duty->Poll(now_);
    if (actions.append)
      Append(index, *actions.append);
    for (const KeyCall& call : actions.calls)
      Call(index, call);
  }

  void Append(int index, const LogAppend& append) {
    const int incarnation = instances_[index].incarnation;
    const BootTime sent_at = now_;
    const bool lost = Chance(0.15);
    const bool cut = now_ < instances_[index].cut_until;
    const auto run = [=, this] {
      LogAppendResult result = LogAppendResult::kConflict;
      if (append.at == log_.size()) {
        for (const GrantLogRecord& record : append.records)
          log_.push_back(record);
        result = LogAppendResult::kDone;
      }
      if (lost || cut)
        return;
      Later(Delay(50), [=, this] {
        Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
          duty.OnAppendEnded(result, sent_at, now_);
        });
      });
    };
    // One without an answer may be done seconds later.
    if (!cut || Chance(0.3))
      Later(lost || cut ? Delay(6000) : Delay(50), run);
    if (lost || cut) {
      Later(1200ms, [=, this] {
        Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
          duty.OnAppendEnded(LogAppendResult::kUnknown, sent_at, now_);
        });
      });
    }
  }

  // A call may wait behind others before it is sent.
  void Call(int index, const KeyCall& call) {
    if (!Chance(0.1)) {
      Send(index, call);
      return;
    }
    const int incarnation = instances_[index].incarnation;
    Later(Delay(3000), [=, this] {
      Tell(index, incarnation,
           [=, this](GrantCoordinator&) { Send(index, call); });
    });
  }

  void Send(int index, const KeyCall& call) {
    const int incarnation = instances_[index].incarnation;
    if (now_ >= call.valid_until) {
      Later(0ms, [=, this] {
        Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
          duty.OnCallEnded(call.id, KeyCallResult::kUnreachable, "", now_);
        });
      });
      return;
    }
    const auto at =
        std::ranges::find(upstreams_, call.upstream.name, &Upstream::name);
    const std::size_t upstream =
        static_cast<std::size_t>(at - upstreams_.begin());
    const milliseconds started_at = call.upstream.started_at;
    const bool late = call.kind == KeyCall::Kind::kGrant && Chance(0.1);
    const milliseconds way = Delay(30);
    Later(way, [=, this] {
      const BootTime arrived = now_;
      const milliseconds work = late ? 2000ms + Delay(10000) : Delay(30);
      Later(work, [=, this] {
        Upstream& target = upstreams_[upstream];
        const bool there = target.alive && target.started_at == started_at;
        // The address may have gone to another upstream.
        const bool replaced = Chance(0.5);
        const bool accepted = there && target.Apply(call, arrived, now_);
        if (accepted && call.kind == KeyCall::Kind::kGrant)
          CheckToken(upstream, call);
        if (!late) {
          Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
            duty.OnCallEnded(call.id,
                             accepted   ? KeyCallResult::kDone
                             : there    ? KeyCallResult::kFenced
                             : replaced ? KeyCallResult::kReplaced
                                        : KeyCallResult::kUnreachable,
                             "", now_);
          });
        }
      });
    });
    if (late) {
      Later(800ms, [=, this] {
        Tell(index, incarnation, [=, this](GrantCoordinator& duty) {
          duty.OnCallEnded(call.id, KeyCallResult::kUnknown, "", now_);
        });
      });
    }
  }

  // A token must be above all with which other upstreams got the key.
  void CheckToken(std::size_t upstream, const KeyCall& call) {
    for (std::size_t index = 0; index < kProbes.size(); ++index) {
      if (!call.keys.Contains(kProbes[index]))
        continue;
      LastGrant& last = last_grants_[index];
      if (!upstreams_[upstream].Holds(kProbes[index], now_))
        continue;
      tokens_rise_ &= last.upstream == upstream || call.token > last.token;
      if (call.token >= last.token)
        last = {upstream, call.token};
    }
  }

  bool HasOneOwnerAKey() const {
    if (!tokens_rise_)
      return false;
    for (const KeyNumber key : kProbes) {
      const auto owners = std::ranges::count_if(
          upstreams_,
          [&](const Upstream& upstream) { return upstream.Holds(key, now_); });
      if (owners > 1)
        return false;
    }
    return true;
  }

  std::int64_t CountServed() const {
    return std::ranges::count_if(kProbes, [&](KeyNumber key) {
      return std::ranges::any_of(upstreams_, [&](const Upstream& upstream) {
        return upstream.Holds(key, now_);
      });
    });
  }

  std::mt19937 random_;
  BootTime now_ = At(0ms);
  RouterConfiguration plan_;
  std::vector<Upstream> upstreams_;
  // Upstreams that live but are not listed.
  std::set<std::string> hidden_;
  std::array<Instance, kInstances> instances_;
  int turn_ = 0;
  BootTime next_listing_{};
  std::vector<GrantLogRecord> log_;
  std::vector<Event> events_;
  struct LastGrant {
    std::size_t upstream = 0;
    std::uint64_t token = 0;
  };
  std::array<LastGrant, kProbes.size()> last_grants_{};
  bool tokens_rise_ = true;
  std::int64_t served_ = 0;
  std::int64_t steps_ = 0;
};

// Guards against two owners of one key, under cuts, pauses, restarts, lost and
// late appends, late grants and new lives of upstreams, all at once.
TEST_CASE("GrantDuty never gives a key two owners") {
  double served = 0;
  for (std::uint32_t seed = 1; seed <= kRuns; ++seed) {
    World world(seed);
    INFO("seed " << seed);
    REQUIRE(world.Play());
    served += world.served_share();
  }
  // The test would also pass if nothing were ever granted.
  INFO("served " << served / kRuns);
  CHECK(served / kRuns > 0.3);
}

}  // namespace
}  // namespace pollenrudder
