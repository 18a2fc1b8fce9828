// The HTTP server of the admin port.

#ifndef POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_
#define POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_

#include <memory>
#include <string>

#include "base/result.h"

namespace pollenrudder {

class AdminHandler;

// Serves GET requests of operators and scrapers on a thread of its own. The
// port changes nothing: any other method is refused. Related: AdminHandler.
class AdminServer {
 public:
  // Binds `address` ("ip:port", port 0 takes a free port) and starts serving.
  // `handler` must outlive the server.
  static Result<std::unique_ptr<AdminServer>> Start(const std::string& address,
                                                    AdminHandler& handler);
  // Stops the thread; a request being handled is finished.
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // The bound address, with the port that was taken.
  const std::string& address() const;

 private:
  class Server;

  explicit AdminServer(std::unique_ptr<Server> server);

  const std::unique_ptr<Server> server_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_ADMIN_SERVER_H_
