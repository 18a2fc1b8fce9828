// Read-only HTTP server of the admin port.

#ifndef POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_
#define POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_

#include <memory>
#include <string>

#include "base/result.h"

namespace pollenrudder {

class AdminHandler;

// Serves GET requests of operators and metric scrapers on its own thread by
// calling an AdminHandler. Rejects all other methods, since the admin port is
// read-only.
class AdminServer {
 public:
  // Binds `address` ("ip:port", port 0 selects a free port) and starts the
  // thread. `handler` must outlive the server.
  static Result<std::unique_ptr<AdminServer>> Start(const std::string& address,
                                                    AdminHandler& handler);
  // Stops the thread after the handler call in progress, if any.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // The bound address, including a port that was selected automatically.
  const std::string& address() const;

 private:
  class Server;

  explicit AdminServer(std::unique_ptr<Server> server);

  const std::unique_ptr<Server> server_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_
