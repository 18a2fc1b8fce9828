// Interface for reading the log through a same-zone peer.

#ifndef POLLENRUDDER_LOGSTORE_RELAY_READER_H_
#define POLLENRUDDER_LOGSTORE_RELAY_READER_H_

#include <chrono>
#include <functional>
#include <string>

#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// LogstoreThread uses it to read the log through the parent in the reader tree.
// Implemented by PeerClient.
class RelayReader {
 public:
  // Called once, on any thread. The proof time already takes into account the
  // age of the read of the parent.
  using Callback = std::function<void(Result<LogRecordsRead>)>;

  virtual ~RelayReader() = default;

  // Requests the records from `from` on. If the peer has none, it waits for one
  // for at most `wait` before it responds.
  virtual void ReadTail(const std::string& peer_address,
                        LogOffset from,
                        std::chrono::milliseconds wait,
                        Callback callback) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_RELAY_READER_H_
