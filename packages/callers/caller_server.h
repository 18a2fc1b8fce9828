// Multithreaded HTTP/1.1 server that accepts requests from callers and
// forwarded requests from other instances.

#ifndef POLLENRUDDER_CALLERS_CALLER_SERVER_H_
#define POLLENRUDDER_CALLERS_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/memory_account.h"
#include "base/metrics.h"
#include "base/result.h"
#include "callers/request_handler.h"
#include "http/http_parser.h"

namespace pollenrudder {

// Serves HTTP/1.1 with keep-alive. Each thread has its own event loop,
// listening socket and RequestHandler, so a request stays on one thread.
// Message sizes, the number of connections and the duration of each phase are
// limited.
//
//   auto server = CallerServer::Create(options, factory, metrics);
//   ...
//   server->StartShutdown();
//   // Wait for requests in flight.
//   server->CloseIdle();
//   server->Stop();
class CallerServer {
 public:
  struct Options {
    // "ip:port"; port 0 selects a free port.
    std::string address;
    std::uint32_t threads = 1;
    // A further connection closes the one whose caller has sent no complete
    // request for longest.
    std::size_t max_connections_per_thread = 16384;
    // What all connections hold is charged to this account.
    std::shared_ptr<MemoryAccount> memory =
        MemoryAccount::ForProcess(std::size_t{256} << 20);
    ParseLimits limits;
    // Value of the `server` label in metrics.
    std::string name;
  };

  // `metrics` must outlive the object.
  static Result<std::unique_ptr<CallerServer>> Create(
      const Options& options,
      const RequestHandler::Factory& factory,
      Metrics& metrics);
  // Stops the threads.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // The bound address, including a port that was selected automatically.
  const std::string& address() const;

  // Stops accepting connections and closes each open one after its next
  // response.
  void StartShutdown();
  // Closes the connections without a request in progress, now and from now on
  // when their request ends. Call it some time
  // after StartShutdown(), so that active callers first receive a response with
  // "Connection: close".
  void CloseIdle();
  std::size_t open_connections() const;
  // Stops and joins the threads. The event loops remain valid until
  // destruction, since other threads may still post results to them.
  void Stop();

 private:
  class Thread;
  class Core;

  explicit CallerServer(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLER_SERVER_H_
