// Interface through which a CallerConnection passes on its requests.

#ifndef POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_
#define POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/error_kind.h"
#include "entry/received_request.h"
#include "fleet/caller_limits.h"
#include "http/http_message.h"

namespace pollenrudder {

class CallerConnection;

// Handles the requests of caller connections and supplies their limits and
// error responses.
class CallerConnectionHandler {
 public:
  // What a connection does for lack of memory.
  enum class MemoryAction { kRefuse, kDropResponse, kClose };

  virtual ~CallerConnectionHandler() = default;

  virtual CallerLimits CurrentLimits() const = 0;
  virtual const std::shared_ptr<MemoryAccount>& memory() const = 0;
  // A complete request arrived. The handler passes its response to
  // connection->SendResponse(sequence, ...).
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& connection,
                         std::uint64_t sequence,
                         std::shared_ptr<const ReceivedRequest> request) = 0;
  // The caller closed the connection; its requests need no response.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<CallerConnection>& connection) = 0;
  virtual void OnConnectionClosed(
      const std::shared_ptr<CallerConnection>& connection) = 0;
  // A malformed request arrived; the connection sends the error response.
  virtual void OnBadRequest(ErrorKind kind) = 0;
  // The connection lacks memory for `bytes`, or they were taken from it.
  virtual void OnMemoryAction(MemoryAction action, std::size_t bytes) = 0;
  virtual HttpResponse MakeErrorResponse(ErrorKind kind) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_
