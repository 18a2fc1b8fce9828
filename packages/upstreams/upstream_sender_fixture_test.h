// An UpstreamSender that leads a FakeUpstream, for tests.

#ifndef POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_FIXTURE_TEST_H_
#define POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_FIXTURE_TEST_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "base/bounded_ring.h"
#include "upstreams/fake_upstream_test.h"
#include "upstreams/upstream_sender.h"

namespace pollenrudder {

using namespace std::chrono_literals;

inline constexpr std::chrono::seconds kTimeout{10};
inline constexpr LogOffset kFence = 7;
inline constexpr LogOffset kPlacedOffset = 9;

// Records the events of the sender.
class RecordingListener : public UpstreamListener {
 public:
  void OnUpstreamObserved(UpstreamObserved event) override {
    observed.Push(std::move(event));
  }
  void OnFingerprintConfirmed(FingerprintConfirmed event) override {
    confirmed.Push(std::move(event));
  }
  void OnDrainFinished(DrainFinished event) override {
    drained.Push(std::move(event));
  }
  void OnLoadReported(LoadReported event) override {
    loads.Push(std::move(event));
  }

  // Skips events until `state` is observed.
  UpstreamObserved WaitFor(UpstreamObserved::State state) {
    while (true) {
      auto event = observed.PopFor(kTimeout);
      REQUIRE(event);
      if (event->state == state)
        return *event;
    }
  }

  BoundedRing<UpstreamObserved> observed{1024};
  BoundedRing<FingerprintConfirmed> confirmed{64};
  BoundedRing<DrainFinished> drained{64};
  BoundedRing<LoadReported> loads{64};
};

inline FakeUpstream::Reply RespondOk(const std::string& request) {
  return {FakeUpstream::MakeResponse(request, "ok")};
}

// An UpstreamSender that leads one upstream of a service with four shards.
class SenderFixture {
 public:
  explicit SenderFixture(
      FakeUpstream::Script script = RespondOk,
      const std::function<void(ServiceSettings&)>& change = {})
      : upstream(std::move(script)) {
    settings.name = "geodata";
    settings.path_prefix = "/geodata/";
    settings.is_sharded = true;
    settings.shards = 4;
    settings.slots = 2;
    settings.connections = 4;
    settings.deadline = 5s;
    if (change)
      change(settings);
    sender = UpstreamSender::Create({"here.1", "region"}, listener, *metrics);
    sender->SetTable(
        Table({kPlacedOffset, kPlacedOffset, kPlacedOffset, kPlacedOffset}));
    SetLease(10s);
  }

  RoutingTablePointer Table(std::vector<LogOffset> offsets) const {
    auto table = std::make_shared<RoutingTable>();
    RoutedUpstream routed;
    routed.name = "geo-1";
    routed.service = settings.name;
    routed.zone = "zone";
    routed.region = "region";
    routed.address = upstream.address();
    routed.term = fence;
    routed.leader_fence = fence;
    routed.leader = "here.1";
    table->upstreams = {routed};
    RoutedService service;
    service.settings = settings;
    service.upstreams = {0};
    if (settings.is_sharded) {
      service.shard_owners.assign(settings.shards, 0);
      service.shard_offsets = std::move(offsets);
    }
    table->services.emplace(settings.name, service);
    return table;
  }

  void SetLease(std::chrono::nanoseconds left) {
    sender->ApplyLease({"geo-1", fence, BootClock::now() + left});
  }

  void BeginNextTerm() {
    ++fence;
    sender->SetTable(
        Table({kPlacedOffset, kPlacedOffset, kPlacedOffset, kPlacedOffset}));
    SetLease(10s);
  }

  UpstreamRequest Request(const std::string& method = "GET",
                          const std::string& body = "") const {
    UpstreamRequest request;
    request.service = settings.name;
    request.upstream = "geo-1";
    if (settings.is_sharded)
      request.shard = 1;
    request.epoch = settings.is_sharded ? kPlacedOffset : kFence;
    request.deadline = BootClock::now() + settings.deadline;
    auto http = std::make_shared<HttpRequest>();
    http->method = method;
    http->target = "/geodata/key-1";
    http->header_lines = "Host: geodata\r\n";
    http->body = body;
    request.http = std::move(http);
    return request;
  }

  std::future<UpstreamResult> Send(UpstreamRequest request) {
    auto promise = std::make_shared<std::promise<UpstreamResult>>();
    auto future = promise->get_future();
    last_ticket =
        sender->Submit(std::move(request), [promise](UpstreamResult result) {
          promise->set_value(std::move(result));
        });
    return future;
  }

  std::string IssueId() {
    std::promise<IssuedIds> promise;
    sender->Issue("geo-1", 1, 1,
                  [&](IssuedIds ids) { promise.set_value(std::move(ids)); });
    const IssuedIds ids = promise.get_future().get();
    REQUIRE(ids.ids.size() == 1);
    return ids.ids[0];
  }

  LogOffset fence = kFence;
  ServiceSettings settings;
  FakeUpstream upstream;
  RecordingListener listener;
  std::unique_ptr<Metrics> metrics = Metrics::Create();
  std::unique_ptr<UpstreamSender> sender;
  std::uint64_t last_ticket = 0;
};

inline UpstreamResult Get(std::future<UpstreamResult>& future) {
  REQUIRE(future.wait_for(kTimeout) == std::future_status::ready);
  return future.get();
}

inline UpstreamResult Get(std::future<UpstreamResult>&& future) {
  return Get(future);
}

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_UPSTREAM_SENDER_FIXTURE_TEST_H_
