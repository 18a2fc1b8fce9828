// A request of a caller with the memory that it is charged.

#ifndef POLLENRUDDER_ENTRY_RECEIVED_REQUEST_H_
#define POLLENRUDDER_ENTRY_RECEIVED_REQUEST_H_

#include <memory>
#include <utility>

#include "base/memory_account.h"
#include "http/http_message.h"

namespace pollenrudder {

// Shared by the forwarder and by the connections to upstreams that still write
// the body, so that it is neither copied nor released early.
struct ReceivedRequest {
  explicit ReceivedRequest(std::shared_ptr<MemoryAccount> account)
      : charge(std::move(account)) {}

  HttpRequest message;
  MemoryAccount::Charge charge;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_RECEIVED_REQUEST_H_
