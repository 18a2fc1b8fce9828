// Tests of BoundedRing with one and with two threads.

#include "base/bounded_ring.h"

#include <memory>
#include <thread>

#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

// Guards against values that are lost when the consumer is slow.
TEST_CASE("a push into a full ring fails and does not move the value") {
  BoundedRing<std::unique_ptr<int>> ring(2);
  REQUIRE(ring.Push(std::make_unique<int>(1)));
  REQUIRE(ring.Push(std::make_unique<int>(2)));
  auto third = std::make_unique<int>(3);
  REQUIRE_FALSE(ring.Push(std::move(third)));
  REQUIRE(third != nullptr);
  REQUIRE(**ring.Pop() == 1);
  REQUIRE(ring.Push(std::move(third)));
  REQUIRE(**ring.Pop() == 2);
  REQUIRE(**ring.Pop() == 3);
  REQUIRE_FALSE(ring.Pop().has_value());
}

// Guards against a missing wake-up, and against one for each value.
TEST_CASE("a push into an empty ring wakes the consumer once") {
  int wake_ups = 0;
  BoundedRing<int> ring(4, [&] { ++wake_ups; });
  ring.Push(1);
  ring.Push(2);
  REQUIRE(wake_ups == 1);
  ring.Pop();
  ring.Pop();
  ring.Push(3);
  REQUIRE(wake_ups == 2);
}

// Guards against lost or reordered values between threads.
TEST_CASE("values pass between threads in order") {
  constexpr int kValues = 20000;
  BoundedRing<int> ring(16);
  std::thread producer([&] {
    for (int value = 0; value < kValues; ++value) {
      while (!ring.Push(int(value)))
        std::this_thread::yield();
    }
  });
  int expected = 0;
  while (expected < kValues) {
    if (const auto value = ring.PopFor(std::chrono::seconds(10)))
      REQUIRE(*value == expected++);
  }
  producer.join();
}

}  // namespace
}  // namespace pollenrudder
