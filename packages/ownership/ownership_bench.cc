// Measures one Controller at the planned capacity: replaying the log, writing a
// checkpoint, starting from the snapshot of another instance, a tick, and
// applying one more record.
//
// usage: ownership_bench [SERVICES] [SHARDS] [INSTANCES] [UPSTREAMS_EACH]

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "ownership/controller.h"
#include "ownership/log_record.h"

namespace pollenrudder {
namespace {

using std::chrono::duration;
using std::chrono::steady_clock;

constexpr std::uint32_t kZones = 11;
constexpr std::uint32_t kShardsPerRecord = 2048;
constexpr int kTicks = 1000;
constexpr int kMoves = 100;

struct Size {
  std::uint32_t services = 10;
  std::uint32_t shards = 16384;
  std::uint32_t instances = 770;
  std::uint32_t upstreams_each = 4;
};

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Megabytes(std::size_t bytes) {
  return static_cast<double>(bytes) / 1e6;
}

double MillisecondsSince(steady_clock::time_point start) {
  return duration<double, std::milli>(steady_clock::now() - start).count();
}

std::string ZoneName(std::uint32_t instance) {
  return "zone-" + std::to_string(instance % kZones);
}

std::string InstanceName(std::uint32_t instance) {
  return "entry-" + std::to_string(instance) + ".1";
}

std::string UpstreamName(std::uint32_t upstream) {
  return "upstream-" + std::to_string(upstream);
}

std::string SectionText(const Size& size) {
  std::string text = "team: all\nservices:\n";
  for (std::uint32_t service = 0; service < size.services; ++service) {
    const std::string name = "service-" + std::to_string(service);
    text += "  - {name: ";
    text += name;
    text += ", path_prefix: /";
    text += name;
    text += "/, key: {header: Key}, shards: ";
    text += std::to_string(size.shards);
    text += ", slots: 6, connections: 110}\n";
  }
  return text;
}

TermRecord TermsOf(const Size& size, std::uint32_t instance) {
  TermRecord record;
  for (std::uint32_t index = 0; index < size.upstreams_each; ++index) {
    const std::uint32_t upstream = instance * size.upstreams_each + index;
    TermEntry entry;
    entry.upstream = UpstreamName(upstream);
    entry.service = "service-" + std::to_string(upstream % size.services);
    entry.zone = entry.leader_zone = ZoneName(instance);
    entry.region = "region-" + std::to_string(instance % kZones % 3);
    entry.address = "10.0.0.1:8080";
    entry.leader = InstanceName(instance);
    entry.leader_forward_address = "10.0.0.2:8081";
    entry.leader_peer_address = "10.0.0.2:8082";
    entry.isolation_hold = std::chrono::seconds(5400);
    for (std::uint32_t voter = 1; voter <= 5; ++voter) {
      const std::uint32_t other =
          (instance + (voter <= 3 ? voter * kZones : voter)) % size.instances;
      entry.voters.push_back(
          {InstanceName(other), ZoneName(other), "10.0.0.3:8082"});
    }
    record.entries.push_back(std::move(entry));
  }
  return record;
}

// Returns the records, in log order, that create a system of this size.
std::vector<std::string> FullLog(const Size& size) {
  std::vector<std::string> log;
  const auto add = [&log](LogRecordBody body, std::uint32_t writer = 0) {
    log.push_back(EncodeLogRecord({"record-" + std::to_string(log.size()),
                                   InstanceName(writer), std::move(body)}));
  };
  add(SectionRecord{"all", kNoOffset, SectionText(size)});
  for (std::uint32_t instance = 0; instance < size.instances; ++instance)
    add(TermsOf(size, instance), instance);
  const std::uint32_t upstreams = size.instances * size.upstreams_each;
  for (std::uint32_t service = 0; service < size.services; ++service) {
    PlaceRecord record{"service-" + std::to_string(service), {}};
    for (std::uint32_t shard = 0; shard < size.shards; ++shard) {
      const std::uint32_t number =
          service + size.services * (shard % (upstreams / size.services));
      record.placements.push_back({shard, UpstreamName(number)});
      if (record.placements.size() == kShardsPerRecord) {
        add(record);
        record.placements.clear();
      }
    }
    if (!record.placements.empty())
      add(record);
  }
  return log;
}

ControllerOptions OptionsOf(std::uint32_t instance) {
  ControllerOptions options;
  options.instance = InstanceName(instance);
  options.zone = ZoneName(instance);
  options.region = "region-0";
  options.forward_address = "10.0.0.2:8081";
  options.peer_address = "10.0.0.2:8082";
  return options;
}

LogRecordsRead ReadOf(LogOffset offset, std::string data, const Now& now) {
  LogRecordsRead read;
  read.first_retained = 1;
  read.next = offset + 1;
  read.records.push_back({offset, std::move(data)});
  read.proof_time = now.boot;
  return read;
}

// Prints how many upstreams and shards the replayed records produced.
void PrintTable(const std::vector<ControllerAction>& actions) {
  for (const ControllerAction& action : actions) {
    const auto* const published = std::get_if<PublishRoutingTable>(&action);
    if (!published)
      continue;
    std::size_t placed = 0;
    for (const auto& [name, service] : published->table->services) {
      for (const std::uint32_t owner : service.shard_owners)
        placed += owner != RoutedService::kNoUpstream ? 1 : 0;
    }
    std::cout << "routing table: " << published->table->upstreams.size()
              << " upstreams, " << placed << " shards with an owner\n";
  }
}

void Measure(const Size& size) {
  const std::vector<std::string> log = FullLog(size);
  std::size_t log_bytes = 0;
  LogRecordsRead all;
  all.first_retained = 1;
  for (const std::string& data : log) {
    log_bytes += data.size();
    all.records.push_back({all.next++, data});
  }
  std::cout << "records " << log.size() << ", " << Megabytes(log_bytes)
            << " MB\n";

  const double memory_before = ResidentMegabytes();
  auto controller = std::move(Controller::Create(OptionsOf(0))).value();
  Now now = Now::Read();
  all.proof_time = now.boot;
  auto start = steady_clock::now();
  auto actions = controller->Handle(all, now);
  std::cout << "replay of the whole log: " << MillisecondsSince(start)
            << " ms, resident memory +" << ResidentMegabytes() - memory_before
            << " MB with one routing table\n";

  PrintTable(actions);

  start = steady_clock::now();
  const std::vector<std::string> snapshot = controller->Snapshot();
  std::size_t snapshot_bytes = 0;
  for (const std::string& part : snapshot)
    snapshot_bytes += part.size();
  std::cout << "snapshot: " << MillisecondsSince(start) << " ms, "
            << snapshot.size() << " parts, " << Megabytes(snapshot_bytes)
            << " MB\n";

  start = steady_clock::now();
  auto newcomer = std::move(Controller::Create(OptionsOf(1))).value();
  const bool loaded = newcomer->LoadSnapshot(snapshot).has_value();
  std::cout << "start from a peer's snapshot: " << MillisecondsSince(start)
            << " ms, " << (loaded ? "loaded" : "FAILED") << '\n';

  start = steady_clock::now();
  for (int tick = 0; tick < kTicks; ++tick) {
    now.boot += std::chrono::milliseconds(50);
    actions = controller->Handle(Tick{}, now);
  }
  std::cout << "tick, 20 a second: " << MillisecondsSince(start) / kTicks
            << " ms each\n";

  LogOffset offset = all.next;
  start = steady_clock::now();
  for (int move = 0; move < kMoves; ++move) {
    const LogRecord record{
        "mark-" + std::to_string(move), InstanceName(0),
        QuarantineRecord{"service-0", static_cast<std::uint64_t>(move),
                         now.wall + std::chrono::minutes(10)}};
    actions =
        controller->Handle(ReadOf(offset++, EncodeLogRecord(record), now), now);
  }
  std::cout << "a record that changes no route: "
            << MillisecondsSince(start) / kMoves << " ms each\n";

  start = steady_clock::now();
  for (int move = 0; move < kMoves; ++move) {
    const LogOffset previous = move == 0 ? kNoOffset : offset - 1;
    const LogRecord record{
        "section-" + std::to_string(move), "operator.bench",
        SectionRecord{"other", previous,
                      "team: other\nservices: []\nmax_in_flight: " +
                          std::to_string(move + 1) + "\n"}};
    actions =
        controller->Handle(ReadOf(offset++, EncodeLogRecord(record), now), now);
  }
  std::cout << "a record that changes routes: "
            << MillisecondsSince(start) / kMoves << " ms each\n";
}

}  // namespace
}  // namespace pollenrudder

int main(int argument_count, char** arguments) {
  pollenrudder::Size size;
  std::uint32_t* const fields[] = {&size.services, &size.shards,
                                   &size.instances, &size.upstreams_each};
  for (int index = 1; index < argument_count && index <= 4; ++index)
    *fields[index - 1] =
        static_cast<std::uint32_t>(std::strtoul(arguments[index], nullptr, 10));
  pollenrudder::Measure(size);
  return 0;
}
