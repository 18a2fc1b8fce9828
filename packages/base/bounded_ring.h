// A bounded queue that passes values from any threads to one consumer.

#ifndef POLLENRUDDER_BASE_BOUNDED_RING_H_
#define POLLENRUDDER_BASE_BOUNDED_RING_H_

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace pollenrudder {

// A ring buffer of fixed capacity for any number of producers and one consumer.
// Push() never waits: if the ring is full, it fails and the producer rejects
// the work. A consumer that runs an event loop passes a wake-up function; a
// dedicated consumer thread calls PopFor().
template <typename T>
class BoundedRing {
 public:
  // Called after a push into an empty ring, on the producer's thread.
  using WakeUp = std::function<void()>;

  explicit BoundedRing(std::size_t capacity, WakeUp wake_up = nullptr)
      : slots_(capacity), wake_up_(std::move(wake_up)) {
    assert(capacity > 0);
  }
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Returns false, and leaves `value` untouched, if the ring is full.
  bool Push(T&& value) {
    bool was_empty = false;
    {
      const std::lock_guard lock(mutex_);
      if (size_ == slots_.size())
        return false;
      was_empty = size_ == 0;
      slots_[(first_ + size_) % slots_.size()].emplace(std::move(value));
      ++size_;
    }
    not_empty_.notify_one();
    if (was_empty && wake_up_)
      wake_up_();
    return true;
  }

  // Removes and returns the oldest value, or nothing if the ring is empty.
  std::optional<T> Pop() {
    const std::lock_guard lock(mutex_);
    return TakeFirst();
  }

  // Removes and returns the oldest value. If the ring is empty, waits for one
  // for at most `timeout`.
  std::optional<T> PopFor(std::chrono::nanoseconds timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, timeout, [this] { return size_ > 0; });
    return TakeFirst();
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return size_;
  }

 private:
  std::optional<T> TakeFirst() {
    if (size_ == 0)
      return std::nullopt;
    std::optional<T> value = std::move(slots_[first_]);
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --size_;
    return value;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  // Invariant: slots first_ .. first_ + size_ - 1 (modulo capacity) contain a
  // value, all others are empty.
  std::vector<std::optional<T>> slots_;
  std::size_t first_ = 0;
  std::size_t size_ = 0;
  const WakeUp wake_up_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_BOUNDED_RING_H_
