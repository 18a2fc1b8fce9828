// The thread that talks to the platform: the log service and the instance list.

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

// Where the platform is, and who reads from it.
struct PlatformOptions {
  // "ip:port".
  std::string log_address;
  std::string instance_list_address;
  // "<name>.<incarnation>" and the zone, for the place in the reader tree.
  std::string instance;
  std::string zone;
  // False: the log is always read directly.
  bool relay_tree = true;
};

// Runs LogClient and InstanceListClient on one I/O thread. It polls the
// instance list from the start and the log from the first ReadFrom(), and
// delivers LogRecordsRead, LogReadFailed, AppendFinished and InstancesListed
// into `inputs`. InstancesListed is delivered when the list has changed.
// Reads may overlap: the consumer skips records that it has applied. While
// `inputs` is full, deliveries wait and polling pauses.
//
// Use: the control thread carries out AppendRecord and ReadLogNow by calling
// the functions of the same name. All functions may be called from any thread.
class LogstoreThread {
 public:
  // `relay` may be null; `inputs`, `metrics`, `tail` and `relay` must outlive
  // the object.
  static Result<std::unique_ptr<LogstoreThread>> Create(
      PlatformOptions options,
      BoundedRing<ControllerInput>& inputs,
      Metrics& metrics,
      LogTail& tail,
      RelayReader* relay);
  // Stops and joins the thread.
  ~LogstoreThread();
  LogstoreThread(const LogstoreThread&) = delete;
  LogstoreThread& operator=(const LogstoreThread&) = delete;

  // Starts the long poll of the log at `next`, or moves it there.
  void ReadFrom(LogOffset next);

  // Reads once beside the long poll, always from the log itself.
  void ReadNow(const ReadLogNow& action);

  // Answered by one AppendFinished.
  void Append(const AppendRecord& action);

 private:
  class Core;

  explicit LogstoreThread(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_THREAD_H_
