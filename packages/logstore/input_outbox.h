// Delivers inputs into the control thread's ring without losing any.

#ifndef POLLENRUDDER_LOGSTORE_INPUT_OUTBOX_H_
#define POLLENRUDDER_LOGSTORE_INPUT_OUTBOX_H_

#include <deque>

#include <boost/asio/steady_timer.hpp>

#include "base/bounded_ring.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Keeps inputs while the ring is full and tries again every few milliseconds.
// Used on the platform thread; producers pause while backlog() is not zero.
class InputOutbox {
 public:
  InputOutbox(const boost::asio::any_io_executor& executor,
              BoundedRing<ControllerInput>& inputs);

  void Deliver(ControllerInput input);
  std::size_t backlog() const { return pending_.size(); }

 private:
  void Flush();

  BoundedRing<ControllerInput>& inputs_;
  boost::asio::steady_timer timer_;
  std::deque<ControllerInput> pending_;
  bool timer_armed_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_INPUT_OUTBOX_H_
