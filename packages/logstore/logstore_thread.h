// The thread that communicates with the log service and the instance list of
// the platform.

#ifndef POLLENRUDDER_LOGSTORE_LOGSTORE_THREAD_H_
#define POLLENRUDDER_LOGSTORE_LOGSTORE_THREAD_H_

#include <memory>
#include <string>

#include "base/bounded_ring.h"
#include "base/log_offset.h"
#include "base/metrics.h"
#include "base/result.h"
#include "logstore/log_tail.h"
#include "logstore/relay_reader.h"
#include "ownership/controller_action.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// Addresses of the services, and the identity of this instance.
struct LogstoreOptions {
  // "ip:port".
  std::string log_address;
  std::string instance_list_address;
  // "<name>.<incarnation>" and the availability zone. They determine the
  // position in the reader tree.
  std::string instance;
  std::string zone;
  // If false, the log is always read directly.
  bool relay_tree = true;
};

// Runs LogClient and InstanceListClient on one I/O thread. It polls the
// instance list from the start and the log from the first ReadFrom(), and
// delivers LogRecordsRead, LogReadFailed, AppendFinished and InstancesListed
// to `inputs`. InstancesListed is delivered when the list has changed.
// Reads may overlap: the consumer skips records that it has applied. While
// `inputs` is full, deliveries are queued and polling pauses.
//
// Use: the control thread performs the actions AppendRecord and ReadLogNow by
// calling Append() and ReadNow(). All functions may be called from any thread.
class LogstoreThread {
 public:
  // Starts the thread. `relay` may be null, to always read the log directly.
  // `inputs`, `metrics`, `tail` and `relay` must outlive the object.
  static Result<std::unique_ptr<LogstoreThread>> Create(
      LogstoreOptions options,
      BoundedRing<ControllerInput>& inputs,
      Metrics& metrics,
      LogTail& tail,
      RelayReader* relay);
  // Stops and joins the thread.
  ~LogstoreThread();
  LogstoreThread(const LogstoreThread&) = delete;
  LogstoreThread& operator=(const LogstoreThread&) = delete;

  // Starts the long poll of the log at `next`, or moves it forward to `next`.
  void ReadFrom(LogOffset next);

  // Reads once, directly from the log, in addition to the long poll.
  void ReadNow(const ReadLogNow& action);

  // Appends a record and delivers one AppendFinished.
  void Append(const AppendRecord& action);

 private:
  class Core;

  explicit LogstoreThread(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_THREAD_H_
