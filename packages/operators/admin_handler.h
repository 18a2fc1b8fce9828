// Interface between AdminServer and the daemon.

#ifndef POLLENRUDDER_OPERATORS_ADMIN_HANDLER_H_
#define POLLENRUDDER_OPERATORS_ADMIN_HANDLER_H_

#include <string>
#include <string_view>

namespace pollenrudder {

// Response of the admin port.
struct AdminResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// Implemented by the daemon. AdminServer calls it on the server's thread.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;

  // `target` is the path with the query, for example "/route?service=geodata".
  virtual AdminResponse HandleAdminRequest(std::string_view target) = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OPERATORS_ADMIN_HANDLER_H_
