// Conversion between "ip:port" and endpoints.

#include "operators/socket_address.h"

#include <charconv>
#include <cstdint>

namespace pollenrudder {

namespace ip = boost::asio::ip;

Result<ip::tcp::endpoint> ParseAddress(std::string_view address) {
  const Error error =
      MakeError(ErrorKind::kInvalidSettings,
                "not an IP address and a port: " + std::string(address));
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos)
    return error;
  std::string_view host = address.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  boost::system::error_code failure;
  const ip::address parsed = ip::make_address(std::string(host), failure);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto result = std::from_chars(address.data() + colon + 1, end, port);
  if (failure || result.ec != std::errc() || result.ptr != end)
    return error;
  return ip::tcp::endpoint(parsed, port);
}

std::string FormatAddress(const ip::tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6())
    return "[" + host + "]:" + port;
  return host + ":" + port;
}

}  // namespace pollenrudder
