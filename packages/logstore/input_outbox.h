// Delivers inputs to the ring of the control thread without dropping any.

#ifndef POLLENRUDDER_LOGSTORE_INPUT_OUTBOX_H_
#define POLLENRUDDER_LOGSTORE_INPUT_OUTBOX_H_

#include <deque>

#include <boost/asio/steady_timer.hpp>

#include "base/bounded_ring.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Queues inputs while the ring is full and retries every few milliseconds. The
// queue is not bounded: producers must pause while backlog() is not zero. Used
// on the logstore thread only.
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
