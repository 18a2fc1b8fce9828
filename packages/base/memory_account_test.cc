// Tests of MemoryAccount.

#include "base/memory_account.h"

#include <chrono>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMiB = 1 << 20;
constexpr BootTime kStart{1h};

class Connection : public MemoryAccount::Holder {
 public:
  explicit Connection(const std::shared_ptr<MemoryAccount>& account)
      : charge(account, this) {}

  void OnReclaimed() override { is_reclaimed = true; }

  bool is_reclaimed = false;
  MemoryAccount::Charge charge;
};

struct Fixture {
  const std::shared_ptr<MemoryAccount> account =
      std::make_shared<MemoryAccount>(/*limit_bytes=*/10 * kMiB,
                                      /*reserve_bytes=*/2 * kMiB);
};

TEST_CASE_METHOD(Fixture, "A destroyed or smaller charge returns its bytes") {
  {
    MemoryAccount::Charge first(account);
    MemoryAccount::Charge second(account);
    CHECK(first.TryResize(3 * kMiB, kStart));
    CHECK(second.TryResize(2 * kMiB, kStart));
    CHECK(account->used_bytes() == 5 * kMiB);
    CHECK(first.TryResize(kMiB, kStart));
    second.Clear();
    CHECK(account->used_bytes() == kMiB);
  }
  CHECK(account->used_bytes() == 0);
}

// Guards against limits with which an instance of 120 MB refuses a body of 64
// MiB, or with which a small one has no room at all.
TEST_CASE("The limits follow from the memory of the process") {
  constexpr std::size_t kLargestBody = 64 * kMiB;
  const auto usual = MemoryAccount::ForProcess(260 * kMiB);
  CHECK(usual->limit_bytes() == 177 * kMiB);
  CHECK(usual->largest_charge_bytes() > 2 * kLargestBody + (64U << 10));
  CHECK(MemoryAccount::ForProcess(120 * kMiB)->largest_body_bytes() >=
        kLargestBody);
  const auto smallest = MemoryAccount::ForProcess(16 * kMiB);
  CHECK(smallest->limit_bytes() == 6 * kMiB);
  CHECK(smallest->largest_charge_bytes() == 4 * kMiB);
}

// Guards against large messages that leave no memory for ordinary ones.
TEST_CASE_METHOD(Fixture, "Large charges leave the reserve to ordinary ones") {
  MemoryAccount::Charge large(account);
  REQUIRE(large.TryResize(account->largest_charge_bytes(), kStart));
  CHECK_FALSE(large.TryResize(account->largest_charge_bytes() + 1, kStart));
  CHECK(large.bytes() == account->largest_charge_bytes());
  CHECK(account->refused_count() == 1);
  std::vector<std::unique_ptr<MemoryAccount::Charge>> ordinary;
  for (std::size_t used = 0; used + MemoryAccount::kOrdinaryBytes <= 2 * kMiB;
       used += MemoryAccount::kOrdinaryBytes) {
    ordinary.push_back(std::make_unique<MemoryAccount::Charge>(account));
    CHECK(ordinary.back()->TryResize(MemoryAccount::kOrdinaryBytes, kStart));
  }
  CHECK_FALSE(ordinary.front()->TryResize(kMiB, kStart));
  CHECK(account->used_bytes() <= account->limit_bytes());
}

// Guards against callers that stop within a body and keep later ones out.
TEST_CASE_METHOD(Fixture,
                 "A large charge takes the memory of stalled holders") {
  Connection stalled(account);
  Connection progressing(account);
  Connection late(account);
  REQUIRE(stalled.charge.TryResize(4 * kMiB, kStart));
  REQUIRE(progressing.charge.TryResize(4 * kMiB, kStart));
  CHECK_FALSE(
      late.charge.TryResize(kMiB, kStart + MemoryAccount::kStallTime - 1ms));
  CHECK_FALSE(stalled.is_reclaimed);
  const BootTime now = kStart + MemoryAccount::kStallTime;
  progressing.charge.Touch(now);
  CHECK(late.charge.TryResize(kMiB, now));
  CHECK(stalled.is_reclaimed);
  CHECK(stalled.charge.bytes() == 0);
  CHECK_FALSE(progressing.is_reclaimed);
  CHECK(account->used_bytes() == 5 * kMiB);
  // Nobody else is stalled: nothing is taken in vain.
  CHECK_FALSE(late.charge.TryResize(5 * kMiB, now));
  CHECK_FALSE(progressing.is_reclaimed);
  CHECK(late.charge.bytes() == kMiB);
}

// Guards against thousands of small bodies that never end: they use up the
// reserve, too.
TEST_CASE_METHOD(Fixture, "An ordinary charge takes the oldest memory") {
  std::vector<std::unique_ptr<Connection>> holders;
  for (std::size_t used = 0; used < 10 * kMiB; used += 64 << 10) {
    holders.push_back(std::make_unique<Connection>(account));
    REQUIRE(holders.back()->charge.TryResize(64 << 10, kStart));
  }
  REQUIRE(account->used_bytes() == account->limit_bytes());
  holders.front()->charge.Touch(kStart + 1ms);
  Connection ordinary(account);
  CHECK(ordinary.charge.TryResize(100 << 10, kStart + 1ms));
  CHECK_FALSE(holders[0]->is_reclaimed);
  CHECK(holders[1]->is_reclaimed);
  CHECK(holders[2]->is_reclaimed);
  CHECK_FALSE(holders[3]->is_reclaimed);
  CHECK(account->used_bytes() <= account->limit_bytes());
}

// Guards against requests that are sent to upstreams and closed by others.
TEST_CASE_METHOD(Fixture, "Memory without a holder is never taken") {
  MemoryAccount::Charge request(account);
  Connection holder(account);
  REQUIRE(request.TryResize(8 * kMiB, kStart));
  REQUIRE(holder.charge.TryResize(64 << 10, kStart));
  MemoryAccount::Charge late(account);
  CHECK_FALSE(late.TryResize(kMiB, kStart + 1h));
  CHECK(request.bytes() == 8 * kMiB);
  CHECK_FALSE(holder.is_reclaimed);
}

// Guards against a holder that is closed by its own growth.
TEST_CASE_METHOD(Fixture, "A charge does not take its own memory") {
  Connection only(account);
  REQUIRE(only.charge.TryResize(8 * kMiB, kStart));
  CHECK_FALSE(only.charge.TryResize(9 * kMiB, kStart + 1h));
  CHECK_FALSE(only.is_reclaimed);
  CHECK(only.charge.bytes() == 8 * kMiB);
}

// Guards against callers that lose their response because others send more than
// the memory holds.
TEST_CASE_METHOD(Fixture, "Holders that wait for others keep their memory") {
  Connection waiting(account);
  Connection idle(account);
  REQUIRE(waiting.charge.TryResize(64 << 10, kStart));
  REQUIRE(idle.charge.TryResize(64 << 10, kStart + 1s));
  waiting.charge.SetReclaimable(false, kStart + 1s);
  CHECK(account->ReclaimStalest());
  CHECK(idle.is_reclaimed);
  CHECK_FALSE(account->ReclaimStalest());
  CHECK(waiting.charge.bytes() == 64 << 10);
  // Its wait does not count as a time without progress.
  Connection late(account);
  REQUIRE(late.charge.TryResize(64 << 10, kStart + 2s));
  waiting.charge.SetReclaimable(true, kStart + 3s);
  CHECK(account->ReclaimStalest());
  CHECK(late.is_reclaimed);
  CHECK_FALSE(waiting.is_reclaimed);
}

TEST_CASE_METHOD(Fixture, "A holder whose memory was taken may charge again") {
  Connection first(account);
  Connection second(account);
  REQUIRE(first.charge.TryResize(8 * kMiB, kStart));
  REQUIRE(second.charge.TryResize(8 * kMiB, kStart + 1s));
  REQUIRE(first.is_reclaimed);
  CHECK(first.charge.TryResize(8 * kMiB, kStart + 2s));
  CHECK(second.is_reclaimed);
  first.charge.Touch(kStart + 3s);
  CHECK(account->used_bytes() == 8 * kMiB);
}

}  // namespace
}  // namespace pollenrudder
