// InputOutbox: a queue, and a timer for retries.

#include "logstore/input_outbox.h"

#include <chrono>
#include <utility>

namespace pollenrudder {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{5};

}  // namespace

InputOutbox::InputOutbox(const boost::asio::any_io_executor& executor,
                         BoundedRing<ControllerInput>& inputs)
    : inputs_(inputs), timer_(executor) {}

void InputOutbox::Deliver(ControllerInput input) {
  pending_.push_back(std::move(input));
  Flush();
}

void InputOutbox::Flush() {
  while (!pending_.empty() && inputs_.Push(std::move(pending_.front())))
    pending_.pop_front();
  if (pending_.empty() || timer_armed_)
    return;
  timer_armed_ = true;
  timer_.expires_after(kRetryInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    timer_armed_ = false;
    Flush();
  });
}

}  // namespace pollenrudder
