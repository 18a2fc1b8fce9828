// Tests of the deduplication of non-repeatable requests.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <map>
#include <vector>

#include "routing/request_records.h"

namespace pollenrudder {
namespace {

using std::chrono::milliseconds;
using Kind = BeginResult::Kind;

BootTime At(std::int64_t ms) {
  return BootTime(milliseconds(ms));
}

RequestRecords MakeRecords(RequestRecords::Options options = {}) {
  return RequestRecords("pedidos", "pedidos-1", options);
}

TEST_CASE("A repeat of an answered request gets the stored response") {
  RequestRecords records = MakeRecords();
  const RequestId id = records.Issue(0, 7, At(1000));
  CHECK(records.Begin(id, 7, At(1001)).kind == Kind::kRun);
  const BeginResult running = records.Begin(id, 7, At(1002));
  CHECK(running.kind == Kind::kInProgress);
  CHECK(running.error == ErrorKind::kUnknownInProgress);
  const StoredResponse response{201, "Location: /pedidos/9\r\n", "{}"};
  records.FinishWithResponse(id, response, At(1003));
  const BeginResult repeat = records.Begin(id, 7, At(1004));
  CHECK(repeat.kind == Kind::kRepeatAnswered);
  CHECK(*repeat.response == response);
}

TEST_CASE("Only a request that did not run may run again") {
  RequestRecords records = MakeRecords();
  const RequestId refused = records.Issue(0, 7, At(0));
  CHECK(records.Begin(refused, 7, At(1)).kind == Kind::kRun);
  records.FinishNotRun(refused, At(2));
  CHECK(records.Begin(refused, 7, At(3)).kind == Kind::kRun);

  const RequestId lost = records.Issue(0, 7, At(0));
  CHECK(records.Begin(lost, 7, At(1)).kind == Kind::kRun);
  records.FinishUnknown(lost, ErrorKind::kUnknownUpstreamLost, At(2));
  const BeginResult repeat = records.Begin(lost, 7, At(3));
  CHECK(repeat.kind == Kind::kRepeatUnknown);
  CHECK(repeat.error == ErrorKind::kUnknownUpstreamLost);
  // A late report must not change the unknown outcome to "not run".
  records.FinishNotRun(lost, At(4));
  CHECK(records.Begin(lost, 7, At(5)).kind == Kind::kRepeatUnknown);
}

TEST_CASE("Ids of another epoch or past their lifetime are refused") {
  RequestRecords records = MakeRecords();
  const RequestId id = records.Issue(3, 7, At(0));
  CHECK(records.Begin(id, 8, At(1)).error ==
        ErrorKind::kUnknownRequestIdExpired);
  CHECK(records.Begin(id, 7, At(119999)).kind == Kind::kRun);
  CHECK(records.Begin(id, 7, At(120000)).kind == Kind::kExpired);
  // Guards against a thread with an earlier time, for which the id of a removed
  // record would seem valid and new.
  CHECK(records.Begin(id, 7, At(119999)).kind == Kind::kExpired);
  CHECK(records.size() == 0);
}

TEST_CASE("Ids that were not issued here are refused") {
  RequestRecords records = MakeRecords();
  const RequestId id = records.Issue(3, 7, At(5000));
  CHECK(records.Begin(id, 7, At(5001)).kind == Kind::kRun);
  const auto kind_of = [&](auto change) {
    RequestId changed = id;
    change(changed);
    return records.Begin(changed, 7, At(5002)).kind;
  };
  CHECK(kind_of([](RequestId& it) { it.service = "cobros"; }) ==
        Kind::kInvalid);
  CHECK(kind_of([](RequestId& it) { it.upstream = "pedidos-2"; }) ==
        Kind::kInvalid);
  CHECK(kind_of([](RequestId& it) { it.sequence = 2; }) == Kind::kInvalid);
  CHECK(kind_of([](RequestId& it) { it.sequence = 0; }) == Kind::kInvalid);
  CHECK(kind_of([](RequestId& it) { it.shard = 4; }) == Kind::kInvalid);
  CHECK(kind_of([](RequestId& it) { it.issued_at = milliseconds(9000); }) ==
        Kind::kInvalid);
}

// Guards against the early removal of a record, after which its request could
// run again.
TEST_CASE(
    "At the record limit, new requests are refused and records are kept") {
  RequestRecords records = MakeRecords({.max_records = 2});
  const RequestId first = records.Issue(0, 7, At(0));
  const RequestId second = records.Issue(0, 7, At(10));
  const RequestId third = records.Issue(0, 7, At(20));
  CHECK(records.Begin(first, 7, At(30)).kind == Kind::kRun);
  CHECK(records.Begin(second, 7, At(30)).kind == Kind::kRun);
  const BeginResult refused = records.Begin(third, 7, At(30));
  CHECK(refused.kind == Kind::kFull);
  CHECK(refused.error == ErrorKind::kNotRunOverloaded);
  CHECK(records.Begin(first, 7, At(40)).kind == Kind::kInProgress);
  CHECK(records.Begin(third, 7, At(120000)).kind == Kind::kRun);
}

TEST_CASE("A response that is too large is not stored, but its request is") {
  RequestRecords records =
      MakeRecords({.max_response_bytes = 100, .max_bytes_per_response = 60});
  const auto run = [&](std::size_t bytes) {
    const RequestId id = records.Issue(0, 7, At(0));
    CHECK(records.Begin(id, 7, At(1)).kind == Kind::kRun);
    records.FinishWithResponse(id, {200, "", std::string(bytes, 'x')}, At(2));
    return records.Begin(id, 7, At(3));
  };
  CHECK(run(60).kind == Kind::kRepeatAnswered);
  CHECK(run(61).error == ErrorKind::kUnknownAnswerDamaged);
  CHECK(run(41).kind == Kind::kRepeatUnknown);
  CHECK(records.responses_not_stored() == 2);
  CHECK(records.response_bytes() == 60);
  records.RemoveExpired(At(120000));
  CHECK(records.response_bytes() == 0);
}

// Checks that no id runs again unless its run ended as not run, for any order
// of calls and times.
TEST_CASE("No sequence of calls runs an id twice") {
  rc::prop("random calls", [] {
    RequestRecords records = MakeRecords({.lifetime = milliseconds(50),
                                          .max_records = 4,
                                          .max_response_bytes = 30,
                                          .max_bytes_per_response = 20});
    std::vector<RequestId> ids;
    std::map<std::uint64_t, bool> ran;
    std::int64_t time = 0;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      time += *rc::gen::inRange(-3, 12);
      time = std::max<std::int64_t>(time, 0);
      const int action = *rc::gen::inRange(0, 5);
      if (action == 0 || ids.empty()) {
        ids.push_back(records.Issue(0, 7, At(time)));
        continue;
      }
      const RequestId& id = ids[*rc::gen::inRange<std::size_t>(0, ids.size())];
      if (action <= 2) {
        if (records.Begin(id, 7, At(time)).kind == Kind::kRun) {
          RC_ASSERT(!ran[id.sequence]);
          ran[id.sequence] = true;
        }
      } else if (action == 3 && ran[id.sequence]) {
        records.FinishWithResponse(id, {200, "", std::string(12, 'x')},
                                   At(time));
      } else if (ran[id.sequence] &&
                 records.Begin(id, 7, At(time)).kind == Kind::kInProgress) {
        records.FinishNotRun(id, At(time));
        ran[id.sequence] = false;
      }
      RC_ASSERT(records.size() <= 4U);
      RC_ASSERT(records.response_bytes() <= 30U);
    }
  });
}

}  // namespace
}  // namespace pollenrudder
