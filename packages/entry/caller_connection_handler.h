// The other side of caller links.

#ifndef POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_
#define POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_

#include <cstdint>
#include <memory>

#include "base/error_kind.h"
#include "fleet/caller_limits.h"
#include "http/http_message.h"

namespace pollenrudder {

class CallerConnection;

// Receives the requests of caller links.
class CallerConnectionHandler {
 public:
  virtual ~CallerConnectionHandler() = default;

  virtual CallerLimits CurrentLimits() const = 0;
  // A whole request arrived. Its answer goes to link->Answer(place, ...).
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& link,
                         std::uint64_t sequence,
                         HttpRequest request) = 0;
  // The caller closed the connection; its requests need no answer.
  virtual void OnCallerDisconnected(
      const std::shared_ptr<CallerConnection>& link) = 0;
  virtual void OnConnectionClosed(
      const std::shared_ptr<CallerConnection>& link) = 0;
  // An unreadable request; the link answers it itself.
  virtual void OnBadRequest(ErrorKind kind) = 0;
  virtual HttpResponse MakeErrorResponse(ErrorKind kind) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_CONNECTION_HANDLER_H_
