// Instances of which some are cut off while an availability zone is evacuated
// and becomes cold, for tests.

#ifndef POLLENRUDDER_DISPATCH_DIVIDED_DEPLOYMENT_TEST_H_
#define POLLENRUDDER_DISPATCH_DIVIDED_DEPLOYMENT_TEST_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/cold_deployment_test.h"
#include "dispatch/dispatcher_fixture_test.h"
#include "fleet/fleet_contact.h"

namespace pollenrudder {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline constexpr milliseconds kListInterval{1000};
inline constexpr milliseconds kColdTime{3000};

// Instances in the zone a1, which is evacuated and gets cold upstreams. Those
// of the zone a2 are warm.
//
//   0 s    some instances are cut off
//   2 s    the evacuation begins
//   3 s    the upstreams of the zone become cold
//   4 s    the evacuation ends
//   6 s    the upstreams are warm
class DividedDeployment {
 public:
  struct Options {
    std::uint32_t instances = 8;
    std::uint64_t seed = 0;
    double rate = 5.1;
    double share_cut_off = 0;
    // Otherwise the instances take what they know for the present state.
    bool tracks_contact = true;
    // Otherwise the instances that are never cut off count only themselves. The
    // others count all.
    bool counts_cut_off = true;
    // Whether the cold upstreams answer health requests.
    bool confirms = true;
  };

  static constexpr milliseconds kEvacuation{2000};
  static constexpr milliseconds kColdFrom{3000};
  static constexpr milliseconds kEvacuationEnd{4000};
  static constexpr milliseconds kColdUntil = kColdFrom + kColdTime;

  explicit DividedDeployment(const Options& options)
      : options_(options), random_(options.instances + 1000 * options.seed) {
    ServicePolicy& policy = configuration_.services["soil"];
    policy.max_connections = 440;
    policy.cold_time = kColdTime;
    policy.cold_rate = options.rate;
    for (int i = 0; i < kUpstreamsPerZone; ++i) {
      Add("cold" + std::to_string(i), "a1");
      Add("warm" + std::to_string(i), "a2");
    }
    members_.resize(options.instances);
    const auto cut_off = static_cast<std::uint32_t>(
        std::lround(options.share_cut_off * options.instances));
    for (std::uint32_t i = 0; i < options.instances; ++i) {
      members_[i].is_cut_off = i < cut_off;
      members_[i].known_instances = options.counts_cut_off || i < cut_off
                                        ? options.instances
                                        : options.instances - cut_off;
      Start(i, kStart);
    }
    // They have been in contact for long.
    for (milliseconds time = kStart; time <= 0ms; time += kContactInterval) {
      for (Member& member : members_)
        member.OnContact(time);
    }
  }

  // Runs until the evacuation ends; SetEvacuated() announces it.
  void RunThroughEvacuation() {
    Run(0ms, kEvacuation);
    SetEvacuated(true, kEvacuation);
    Run(kEvacuation, kEvacuationEnd);
    SetEvacuated(false, kEvacuationEnd);
  }

  void SetEvacuated(bool evacuated, milliseconds now) {
    if (evacuated)
      fleet_.SetEvacuatedZones({"a1"});
    else
      fleet_.SetEvacuatedZones({});
    for (Member& member : members_) {
      if (!member.is_cut_off)
        ApplyFleet(member, now);
    }
  }

  // All instances reach each other and the list again.
  void Reconnect(milliseconds now) {
    for (Member& member : members_) {
      if (!std::exchange(member.is_cut_off, false))
        continue;
      member.OnContact(now);
      ApplyFleet(member, now);
    }
  }

  // Each third instance starts again.
  void RestartThird(milliseconds now) {
    for (std::size_t i = 0; i < members_.size(); i += 3) {
      for (auto& [time, events] : events_)
        std::erase_if(events,
                      [i](const Event& event) { return event.member == i; });
      Start(i, now);
      members_[i].OnContact(now);
    }
  }

  // The list shows that the upstreams of the zone a1 are cold.
  void ListAsCold(milliseconds now) {
    for (int i = 0; i < kUpstreamsPerZone; ++i) {
      ListedUpstream entry = *fleet_.Find("cold" + std::to_string(i));
      entry.cold_remaining = kColdUntil - now;
      fleet_.Apply({entry.name, entry}, At(now));
    }
    for (Member& member : members_)
      ApplyFleet(member, now);
  }

  void Run(milliseconds first, milliseconds last) {
    for (milliseconds time = first; time < last; time += kStep) {
      if (time % kContactInterval == 0ms) {
        for (Member& member : members_) {
          if (!member.is_cut_off)
            member.OnContact(time);
        }
      }
      const auto due = events_.find(time);
      if (due != events_.end()) {
        for (Event& event : due->second)
          Apply(event, time);
        events_.erase(due);
      }
      for (int i = 0; i < kRequestsPerStep; ++i)
        SubmitNew(random_() % members_.size(), time);
      for (std::size_t i = 0; i < members_.size(); ++i) {
        Dispatcher& dispatcher = members_[i].instance->dispatcher;
        if (dispatcher.HasWaiting())
          dispatcher.Tick(At(time));
        TakeSends(i, time);
      }
    }
  }

  // The largest number of requests to one upstream in a second while it is
  // cold.
  std::size_t BusiestColdSecond() const {
    std::size_t most = 0;
    for (const auto& [name, times] : cold_sends_)
      most = std::max(most, BusiestSecond(times));
    return most;
  }
  bool IsWithinBound() const {
    return static_cast<double>(BusiestColdSecond()) <=
           MaxPerSecond(options_.rate);
  }
  std::string Numbers() const {
    std::size_t sends = 0;
    for (const auto& [name, times] : cold_sends_)
      sends += times.size();
    return "instances " + std::to_string(options_.instances) + ", cut off " +
           std::to_string(options_.share_cut_off) + ", rate " +
           std::to_string(options_.rate) + ", contact " +
           std::to_string(static_cast<int>(options_.tracks_contact)) +
           ", confirms " + std::to_string(static_cast<int>(options_.confirms)) +
           ": busiest second " + std::to_string(BusiestColdSecond()) + " of " +
           std::to_string(MaxPerSecond(options_.rate)) + ", cold sends " +
           std::to_string(sends) + ", confirmations " +
           std::to_string(confirmations_) + ", new requests cut off " +
           std::to_string(new_while_cut_off_) + ", of these to warm " +
           std::to_string(warm_while_cut_off_);
  }

  // The requests that the upstreams got.
  std::size_t sends() const { return sends_; }
  std::size_t confirmations() const { return confirmations_; }
  // Requests of the instances that are cut off, while the upstreams are cold:
  // the new ones, and the sends to warm upstreams.
  std::size_t new_while_cut_off() const { return new_while_cut_off_; }
  std::size_t warm_while_cut_off() const { return warm_while_cut_off_; }

 private:
  static constexpr int kUpstreamsPerZone = 6;
  static constexpr int kRequestsPerStep = 20;
  static constexpr milliseconds kStart{-10000};
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kContactInterval{500};
  static constexpr milliseconds kRoundTrip{10};
  static constexpr milliseconds kConfirmationTimeout{1000};
  static constexpr milliseconds kLatency{100};

  struct Member {
    void OnContact(milliseconds now) const {
      contact->OnListRead(At(now));
      contact->OnEvacuationsRead(At(now));
    }

    std::unique_ptr<FleetContact> contact;
    std::unique_ptr<Instance> instance;
    std::uint32_t known_instances = 0;
    bool is_cut_off = false;
  };
  struct Event {
    enum class Kind { kResponse, kWarm, kCold, kNotConfirmed };

    Kind kind = Kind::kResponse;
    std::size_t member = 0;
    DispatchRequest request;
    ListedUpstream upstream;
  };

  void Add(const std::string& name, const std::string& zone) {
    ListedUpstream entry;
    entry.name = name;
    entry.service = "soil";
    entry.zone = zone;
    entry.slots = 4;
    entry.started_at = milliseconds(1);
    fleet_.Apply({name, entry}, At(kStart));
  }

  static bool IsCold(const std::string& upstream, milliseconds time) {
    return upstream.starts_with("cold") && time >= kColdFrom &&
           time < kColdUntil;
  }

  void Start(std::size_t i, milliseconds now) {
    Member& member = members_[i];
    member.contact = std::make_unique<FleetContact>(kListInterval);
    member.instance = std::make_unique<Instance>(
        100000 * options_.seed + ++next_seed_,
        options_.tracks_contact ? member.contact.get() : nullptr);
    ApplyFleet(member, now);
  }

  void ApplyFleet(Member& member, milliseconds now) {
    member.instance->dispatcher.SetFleet(fleet_, configuration_,
                                         member.known_instances, At(now));
  }

  void SubmitNew(std::size_t member, milliseconds now) {
    DispatchRequest request;
    request.id = ++next_id_;
    request.service = "soil";
    request.arrived = At(now);
    request.latency_objective = 300ms;
    request.deadline = At(now + 2s);
    if (members_[member].is_cut_off && now >= kColdFrom && now < kColdUntil)
      ++new_while_cut_off_;
    members_[member].instance->dispatcher.Submit(request, At(now));
  }

  void TakeSends(std::size_t i, milliseconds now) {
    DispatchRecorder& recorder = members_[i].instance->recorder;
    for (const auto& [id, name] : recorder.sent)
      Receive(i, name, now);
    recorder.sent.clear();
    for (auto& [request, upstream] : recorder.confirmations) {
      ++confirmations_;
      request.tried.push_back(upstream.name);
      Event event{Event::Kind::kWarm, i, request, upstream};
      milliseconds answered = now + kRoundTrip;
      if (upstream.name.starts_with("cold") && !options_.confirms) {
        event.kind = Event::Kind::kNotConfirmed;
        answered = now + kConfirmationTimeout;
      } else if (IsCold(upstream.name, now + kRoundTrip / 2)) {
        event.kind = Event::Kind::kCold;
      }
      events_[answered].push_back(std::move(event));
    }
    recorder.confirmations.clear();
    recorder.refused.clear();
  }

  // The upstream gets a request.
  void Receive(std::size_t member,
               const std::string& upstream,
               milliseconds now) {
    ++sends_;
    if (IsCold(upstream, now))
      cold_sends_[upstream].push_back(now);
    else if (members_[member].is_cut_off && upstream.starts_with("warm") &&
             now >= kColdFrom && now < kColdUntil)
      ++warm_while_cut_off_;
    Event event;
    event.member = member;
    event.request.service = "soil";
    event.request.latency_objective = 300ms;
    event.upstream.name = upstream;
    events_[now + kLatency].push_back(std::move(event));
  }

  void Apply(Event& event, milliseconds now) {
    Dispatcher& dispatcher = members_[event.member].instance->dispatcher;
    switch (event.kind) {
      case Event::Kind::kResponse:
        dispatcher.OnEnded(event.request, event.upstream.name,
                           AttemptResult::kAnswered, kLatency, At(now));
        return;
      case Event::Kind::kWarm:
        Receive(event.member, event.upstream.name, now);
        return;
      case Event::Kind::kCold:
        dispatcher.OnColdStated(event.upstream,
                                kColdUntil - (now - kRoundTrip / 2), At(now));
        break;
      case Event::Kind::kNotConfirmed:
        dispatcher.OnNotConfirmed(event.upstream, At(now));
        break;
    }
    dispatcher.OnEnded(event.request, event.upstream.name,
                       AttemptResult::kNotSent, 0ms, At(now));
    dispatcher.Submit(std::move(event.request), At(now));
  }

  const Options options_;
  RouterConfiguration configuration_;
  Fleet fleet_;
  std::vector<Member> members_;
  std::map<milliseconds, std::vector<Event>> events_;
  std::map<std::string, std::vector<milliseconds>> cold_sends_;
  std::size_t sends_ = 0;
  std::size_t confirmations_ = 0;
  std::size_t new_while_cut_off_ = 0;
  std::size_t warm_while_cut_off_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint64_t next_seed_ = 0;
  std::mt19937_64 random_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DISPATCH_DIVIDED_DEPLOYMENT_TEST_H_
