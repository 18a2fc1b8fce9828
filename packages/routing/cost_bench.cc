// Memory and time of single routing decisions, for the capacity page. Section
// `cost` of policy_bench.

#include <memory>
#include <random>

#include "quarantine/fingerprint.h"
#include "quarantine/quarantine.h"
#include "routing/admission.h"
#include "routing/bench_report.h"
#include "routing/planner.h"
#include "routing/power_of_two_chooser.h"
#include "routing/request_id.h"
#include "routing/shard_of.h"
#include "routing/spread_placement.h"

namespace pollenrudder {

namespace {

// Prevents the compiler from removing a computation.
volatile std::uint64_t sink = 0;

RoutingTable MakeTable(std::uint32_t services,
                       std::uint32_t upstreams_each,
                       std::uint32_t shards) {
  RoutingTable table;
  table.offset = 1;
  table.upstreams.reserve(std::size_t{services} * upstreams_each);
  for (std::uint32_t s = 0; s < services; ++s) {
    RoutedService service;
    service.settings.name = "service-" + std::to_string(s);
    service.settings.path_prefix = "/service-" + std::to_string(s) + "/";
    service.settings.is_sharded = true;
    service.settings.shards = shards;
    for (std::uint32_t i = 0; i < upstreams_each; ++i) {
      service.upstreams.push_back(
          static_cast<std::uint32_t>(table.upstreams.size()));
      RoutedUpstream upstream;
      upstream.name = service.settings.name + "-" + std::to_string(i);
      upstream.service = service.settings.name;
      upstream.zone = "zone-" + std::to_string(i % 11);
      upstream.region = "region-" + std::to_string(i % 3);
      upstream.address = "10.0.0.1:8080";
      upstream.leader = "entry-" + std::to_string(i) + ".1a2b3c4d";
      upstream.leader_zone = upstream.zone;
      upstream.leader_address = "10.0.1.1:8081";
      table.upstreams.push_back(std::move(upstream));
    }
    service.shard_owners.reserve(shards);
    service.shard_offsets.reserve(shards);
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
      service.shard_owners.push_back(
          service.upstreams[shard % service.upstreams.size()]);
      service.shard_offsets.push_back(1);
    }
    table.services.emplace(service.settings.name, std::move(service));
  }
  return table;
}

std::size_t TableBytes(std::uint32_t upstreams, std::uint32_t shards) {
  const std::size_t before = BenchReport::allocated_bytes();
  const RoutingTable table = MakeTable(1, upstreams, shards);
  sink = sink + table.upstreams.size();
  return BenchReport::allocated_bytes() - before;
}

void PrintCost(const std::string& name, double value, const std::string& unit) {
  BenchReport::Row(
      {name, BenchReport::Number(value, value < 100 ? 1 : 0), unit});
}

void MeasureTable() {
  const double shards = static_cast<double>(TableBytes(770, 16384 * 5)) -
                        static_cast<double>(TableBytes(770, 16384));
  PrintCost("RoutingTable, per shard", shards / (16384 * 4), "bytes");
  const double upstreams = static_cast<double>(TableBytes(4096, 1024)) -
                           static_cast<double>(TableBytes(2048, 1024));
  PrintCost("RoutingTable, per upstream", upstreams / 2048, "bytes");

  const RoutingTable table = MakeTable(4, 770, 16384);
  std::uint64_t key = 0;
  PrintCost(
      "route decision (service, shard, owner, epoch), 4 services x 770 "
      "upstreams x 16,384 shards",
      BenchReport::Nanoseconds(
          2000000,
          [&] {
            const RoutedService* const service =
                table.FindServiceByPath("/service-2/tile/5/6");
            const std::string text = std::to_string(++key * 7919);
            const std::uint32_t shard = ShardOf(text, service->settings.shards);
            const RoutedUpstream& upstream =
                table.upstreams[service->shard_owners[shard]];
            sink = sink + std::max(service->shard_offsets[shard],
                                   upstream.leader_fence);
          }),
      "ns");
}

// Measures a plan after reports of all leaders, as they arrive every two
// seconds.
void MeasurePlanner(std::uint32_t upstreams, std::uint32_t shards, bool moves) {
  RoutingTable table = MakeTable(1, upstreams, shards);
  Planner planner("service-0");
  std::mt19937_64 random(1);
  BootTime now = BootTime(std::chrono::hours(1));
  const std::size_t before = BenchReport::allocated_bytes();
  std::size_t planned = 0;
  const auto report_all = [&] {
    now += std::chrono::seconds(2);
    for (std::uint32_t i = 0; i < upstreams; ++i) {
      UpstreamLoadReport report;
      report.upstream = table.upstreams[i].name;
      for (std::uint32_t shard = i; shard < shards && report.shards.size() < 64;
           shard += upstreams) {
        const double spread = moves ? static_cast<double>(random() % 100) : 0;
        report.shards.push_back({shard, 50 + spread});
        report.requests_per_second += 50 + spread;
      }
      planner.Report(report, now);
    }
  };
  report_all();
  planned += planner.Plan(table, now).size();
  double total = 0;
  constexpr int kRounds = 30;
  for (int i = 0; i < kRounds; ++i) {
    report_all();
    total += BenchReport::Nanoseconds(
        1, [&] { planned += planner.Plan(table, now).size(); });
  }
  const std::string name = "planner run, " + std::to_string(upstreams) +
                           " upstreams, " + std::to_string(shards) +
                           " shards, " + (moves ? "uneven load" : "even load");
  PrintCost(name, total / kRounds / 1000, "us");
  if (moves) {
    PrintCost(
        "planner memory, the same, per shard",
        static_cast<double>(BenchReport::allocated_bytes() - before) / shards,
        "bytes");
  }
  sink = sink + planned;
}

void MeasurePlacement(std::uint32_t upstreams, std::uint32_t shards) {
  std::vector<ShardPlacement> all(shards);
  std::vector<PlacementUpstream> targets(upstreams);
  for (std::uint32_t i = 0; i < shards; ++i)
    all[i] = {i, i % upstreams, 1.0 + i % 7};
  for (std::uint32_t i = 0; i < upstreams; ++i)
    targets[i] = {"u" + std::to_string(i), i != 3};
  PrintCost(
      "targets for a lost upstream, " + std::to_string(upstreams) +
          " upstreams, " + std::to_string(shards) + " shards",
      BenchReport::Nanoseconds(
          20,
          [&] { sink = sink + SpreadPlacement().Place(all, targets).size(); }) /
          1000,
      "us");
}

void MeasureChoice(std::uint32_t upstreams, std::uint32_t zones) {
  PowerOfTwoChooser chooser({.zone = "z0", .region = "r0"}, 1);
  std::vector<UpstreamCandidate> list;
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    list.push_back({"u" + std::to_string(i), "z" + std::to_string(i % zones),
                    "r" + std::to_string(i % zones / 4), false});
  }
  chooser.SetUpstreams(list);
  std::int64_t time = 0;
  PrintCost("upstream choice and its two reports, " +
                std::to_string(upstreams) + " upstreams in " +
                std::to_string(zones) + " zones",
            BenchReport::Nanoseconds(
                200000,
                [&] {
                  const BootTime now{std::chrono::microseconds(time += 100)};
                  const std::string name = *chooser.Choose(now, {});
                  chooser.OnSent(name, now);
                  chooser.OnFinished(name, SendResult::kAnswered,
                                     std::chrono::milliseconds(2), now);
                }),
            "ns");
}

void MeasureSmallDecisions() {
  const RequestId id{
      "crewdesk", "crewdesk-3", 0, 1207, std::chrono::milliseconds(86400000),
      42};
  const std::string text = id.ToText();
  PrintCost("request id, to text",
            BenchReport::Nanoseconds(500000,
                                     [&] { sink = sink + id.ToText().size(); }),
            "ns");
  PrintCost("request id, parse",
            BenchReport::Nanoseconds(
                500000,
                [&] { sink = sink + RequestId::Parse(text).value().sequence; }),
            "ns");
  const std::string body(1024, 'x');
  PrintCost("fingerprint, body of 1 KiB",
            BenchReport::Nanoseconds(
                500000,
                [&] {
                  sink = sink + RequestFingerprint("crewdesk", "POST",
                                                   "/crewdesk/bookings", body);
                }),
            "ns");
  Quarantine quarantine({});
  for (std::uint64_t i = 0; i < 1000; ++i)
    quarantine.MarkSuspect("carta", i * 31, BootTime());
  std::uint64_t fingerprint = 0;
  PrintCost("quarantine check, 1000 marks",
            BenchReport::Nanoseconds(
                2000000,
                [&] {
                  sink = sink + static_cast<std::uint64_t>(quarantine.Check(
                                    "carta", ++fingerprint, BootTime()));
                }),
            "ns");
  Admission admission({.slots = 6});
  std::uint64_t ticket = 0;
  PrintCost("admission to an idle slot and its end",
            BenchReport::Nanoseconds(
                1000000,
                [&] {
                  const BootTime now{std::chrono::microseconds(++ticket)};
                  admission.Submit({ticket, ticket % 4,
                                    now + std::chrono::seconds(1), false},
                                   now);
                  admission.Finished(ticket, SlotResult::kAnswered, now);
                  sink = sink + admission.Next(now).has_value();
                }),
            "ns");
}

}  // namespace

void RunCostBench() {
  BenchReport::Title("Cost of single decisions, one core");
  BenchReport::Header({"what", "cost", "unit"});
  MeasureTable();
  for (const bool moves : {false, true}) {
    MeasurePlanner(9, 1024, moves);
    MeasurePlanner(770, 16384, moves);
    MeasurePlanner(3080, 16384, moves);
  }
  MeasurePlacement(9, 1024);
  MeasurePlacement(3080, 16384);
  MeasureChoice(8, 4);
  MeasureChoice(770, 11);
  MeasureSmallDecisions();
}

}  // namespace pollenrudder
