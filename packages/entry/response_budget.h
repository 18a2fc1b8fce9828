// Bounds the memory of the responses that are being received.

#ifndef POLLENRUDDER_ENTRY_RESPONSE_BUDGET_H_
#define POLLENRUDDER_ENTRY_RESPONSE_BUDGET_H_

#include <cstddef>

namespace pollenrudder {

// Shared by all calls of one kind. An upstream in trouble may send bytes
// without end; many such responses at once must not exhaust the memory of the
// process, and must not keep responses of a usual size from being received.
class ResponseBudget {
 public:
  // A response may use this much although the budget is exhausted.
  static constexpr std::size_t kGuaranteedBytes = 256 << 10;

  explicit ResponseBudget(std::size_t bytes) : limit_(bytes) {}

  // Adds `bytes` to a response that has `received` bytes so far. Returns false
  // if that response has to be given up.
  bool TryAdd(std::size_t received, std::size_t bytes) {
    if (received + bytes > kGuaranteedBytes && used_ + bytes > limit_)
      return false;
    used_ += bytes;
    return true;
  }
  void Release(std::size_t bytes) { used_ -= bytes; }
  std::size_t used() const { return used_; }

 private:
  const std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_RESPONSE_BUDGET_H_
