// The other side of caller links.

#ifndef POLLENRUDDER_ENTRY_CALLER_LINK_OWNER_H_
#define POLLENRUDDER_ENTRY_CALLER_LINK_OWNER_H_

#include <cstdint>
#include <memory>

#include "base/error_kind.h"
#include "fleet/caller_limits.h"
#include "http/http_message.h"

namespace pollenrudder {

class CallerLink;

// Receives the requests of caller links.
class CallerLinkOwner {
 public:
  virtual ~CallerLinkOwner() = default;

  virtual CallerLimits LimitsInForce() const = 0;
  // A whole request arrived. Its answer goes to link->Answer(place, ...).
  virtual void OnRequest(const std::shared_ptr<CallerLink>& link,
                         std::uint64_t place,
                         HttpRequest request) = 0;
  // The caller closed the connection; its requests need no answer.
  virtual void OnCallerLeft(const std::shared_ptr<CallerLink>& link) = 0;
  virtual void OnLinkClosed(const std::shared_ptr<CallerLink>& link) = 0;
  // An unreadable request; the link answers it itself.
  virtual void OnBadRequest(ErrorKind kind) = 0;
  virtual HttpResponse OwnAnswer(ErrorKind kind) const = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_LINK_OWNER_H_
