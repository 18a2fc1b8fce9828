// The HTTP server of the daemon, for callers and for other instances.

#ifndef POLLENRUDDER_CALLERS_CALLER_SERVER_H_
#define POLLENRUDDER_CALLERS_CALLER_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/result.h"
#include "callers/request_handler.h"
#include "http/http_parser.h"

namespace pollenrudder {

// Serves HTTP/1.1 with keep-alive on a number of threads. Each has its own
// event loop, listening socket and RequestHandler, so that a request never
// changes its thread. Sizes, connections and times are bounded.
//   auto server = CallerServer::Create(options, factory, metrics);
//   ... server->StartShutdown(); wait; server->CloseIdle();
//   ... server->Stop();
class CallerServer {
 public:
  struct Options {
    // "ip:port"; port 0 takes a free port.
    std::string address;
    std::uint32_t threads = 1;
    std::uint32_t max_connections_per_thread = 16384;
    ParseLimits limits;
    // The `server` label of the metrics.
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

  // The bound address.
  const std::string& address() const;

  // Accepts no new connections and ends each open one with its next response.
  void StartShutdown();
  // Closes the connections on which no request is out. Call it a while after
  // StartShutdown(), so that callers which use their connections learn of it by
  // a response.
  void CloseIdle();
  std::size_t open_connections() const;
  // Stops and joins the threads. The event loops stay, since answers of other
  // threads may still be posted to them.
  void Stop();

 private:
  class Thread;
  class Core;

  explicit CallerServer(std::unique_ptr<Core> core);

  const std::unique_ptr<Core> core_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLER_SERVER_H_
