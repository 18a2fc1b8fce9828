// Memory and time of the options for running requests at most once. Section
// `records` of policy_bench.

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "routing/bench_report.h"
#include "routing/request_records.h"

namespace pollenrudder {

namespace {

constexpr std::size_t kIds = 200000;
// From docs/design.md, section 1.5.
constexpr double kRequestsPerSecond = 6.5e6;
constexpr double kDaemons = 770;
constexpr double kLifetimeSeconds = 120;
// From docs/design.md, section 1.2: "several hundred appends/s".
constexpr double kAppendsPerSecond = 500;

BootTime At(std::size_t index) {
  return BootTime(std::chrono::hours(1) + std::chrono::microseconds(index));
}

struct RecordFigures {
  double bytes_per_id = 0;
  double nanoseconds = 0;
};

RecordFigures MeasureRecords(std::size_t response_bytes) {
  RequestRecords::Options options;
  options.max_records = kIds;
  options.max_response_bytes = kIds * (response_bytes + 1);
  const std::size_t before = BenchReport::allocated_bytes();
  RequestRecords records("pedidos", "pedidos-1", options);
  std::size_t index = 0;
  RecordFigures figures;
  figures.nanoseconds = BenchReport::Nanoseconds(kIds, [&] {
    const BootTime now = At(index++);
    const RequestId id = records.Issue(0, 7, now);
    records.Begin(id, 7, now);
    if (response_bytes > 0) {
      records.FinishWithResponse(
          id, {201, "", std::string(response_bytes, 'x')}, now);
    }
  });
  figures.bytes_per_id =
      static_cast<double>(BenchReport::allocated_bytes() - before) / kIds;
  return figures;
}

// A hash table by sequence and a queue of sequences for the expiry: the
// alternative to the ordered map.
RecordFigures MeasureHashRecords() {
  struct Entry {
    std::int64_t issued_at = 0;
    std::uint64_t epoch = 0;
    std::uint32_t shard = 0;
    std::uint32_t state = 0;
    std::shared_ptr<const StoredResponse> response;
  };
  const std::size_t before = BenchReport::allocated_bytes();
  std::unordered_map<std::uint64_t, Entry> records;
  std::deque<std::uint64_t> order;
  std::uint64_t sequence = 0;
  RecordFigures figures;
  figures.nanoseconds = BenchReport::Nanoseconds(kIds, [&] {
    records.emplace(++sequence, Entry{});
    order.push_back(sequence);
  });
  figures.bytes_per_id =
      static_cast<double>(BenchReport::allocated_bytes() - before) / kIds;
  return figures;
}

// Ids that callers choose (36 characters) must be stored as text for as long as
// any id is accepted.
RecordFigures MeasureCallerIds() {
  const std::size_t before = BenchReport::allocated_bytes();
  std::unordered_set<std::string> ids;
  std::uint64_t sequence = 0;
  RecordFigures figures;
  figures.nanoseconds = BenchReport::Nanoseconds(kIds, [&] {
    std::string id = std::to_string(++sequence);
    id.insert(0, 36 - id.size(), '0');
    ids.insert(std::move(id));
  });
  figures.bytes_per_id =
      static_cast<double>(BenchReport::allocated_bytes() - before) / kIds;
  return figures;
}

}  // namespace

void RunRecordsBench() {
  const RecordFigures leader = MeasureRecords(0);
  const RecordFigures response = MeasureRecords(200);
  const RecordFigures hash = MeasureHashRecords();
  const RecordFigures caller = MeasureCallerIds();
  const double per_daemon = kRequestsPerSecond / kDaemons;
  BenchReport::Title(
      "At most once: 200,000 ids; figures per daemon at 6.5M requests/s over "
      "770 daemons, a tenth of them non-repeatable, ids kept 120 s");
  BenchReport::Header({"option", "bytes per id", "ns per id",
                       "ids/s per daemon", "MB per daemon", "log appends/s",
                       "messages to a peer/s per daemon"});
  struct Row {
    std::string name;
    RecordFigures figures;
    double copies;
    bool appends;
  };
  const std::vector<Row> rows = {
      {"issued by the leader, record while it runs or is unknown", leader, 1,
       false},
      {"same, with an answer of 200 bytes (chosen)", response, 1, false},
      {"same, hash table and expiry queue", hash, 1, false},
      {"ids of callers, text without answer", caller, 1, false},
      {"issued by the leader, copy at a zone peer", response, 2, false},
      {"issued by the leader, a log record each", response, 1, true}};
  const double ids = per_daemon / 10;
  for (const Row& row : rows) {
    const double megabytes =
        ids * kLifetimeSeconds * row.figures.bytes_per_id * row.copies / 1e6;
    BenchReport::Row(
        {row.name, BenchReport::Number(row.figures.bytes_per_id, 0),
         BenchReport::Number(row.figures.nanoseconds, 0),
         BenchReport::Number(ids, 0), BenchReport::Number(megabytes, 1),
         row.appends ? BenchReport::Number(ids * kDaemons, 0) + " of " +
                           BenchReport::Number(kAppendsPerSecond, 0)
                     : "0",
         row.copies > 1 ? BenchReport::Number(ids, 0) : "0"});
  }
}

}  // namespace pollenrudder
