// Reads the log through a zone peer.

#ifndef POLLENRUDDER_LOGSTORE_RELAY_READER_H_
#define POLLENRUDDER_LOGSTORE_RELAY_READER_H_

#include <chrono>
#include <functional>
#include <string>

#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/controller_input.h"

namespace pollenrudder {

// What LogstoreThread needs to read the log through the parent in the reader
// tree. PeerClient implements it.
class RelayReader {
 public:
  // Called once, on any thread. The proof time is already corrected by the age
  // of the parent's own read.
  using Callback = std::function<void(Result<LogRecordsRead>)>;

  virtual ~RelayReader() = default;

  // Asks the peer for the records from `from` on; the peer holds the answer
  // back for at most `wait` while it has none.
  virtual void ReadTail(const std::string& peer_address,
                        LogOffset from,
                        std::chrono::milliseconds wait,
                        Callback callback) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_RELAY_READER_H_
