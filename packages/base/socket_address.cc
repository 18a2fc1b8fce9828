// Addresses of the form "ip:port" and "[ip]:port".

#include "base/socket_address.h"

#include <charconv>
#include <cstdint>

#include <boost/asio/ip/address.hpp>

namespace pollenrudder {

using boost::asio::ip::tcp;

Result<tcp::endpoint> ParseSocketAddress(std::string_view address) {
  const auto fail = [&] {
    return MakeError(ErrorKind::kInvalidSettings,
                     "\"" + std::string(address) +
                         "\" is not an address of the form ip:port");
  };
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos)
    return fail();
  std::string_view ip = address.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
    ip = ip.substr(1, ip.size() - 2);
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto number = std::from_chars(address.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto parsed = boost::asio::ip::make_address(std::string(ip), error);
  if (error || number.ec != std::errc() || number.ptr != end)
    return fail();
  return tcp::endpoint(parsed, port);
}

tcp::endpoint EndpointOf(std::string_view address) {
  auto parsed = ParseSocketAddress(address);
  return parsed ? parsed.value() : tcp::endpoint();
}

std::string SocketAddressText(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const bool is_ipv6 = endpoint.address().is_v6();
  return (is_ipv6 ? "[" + ip + "]" : ip) + ":" +
         std::to_string(endpoint.port());
}

}  // namespace pollenrudder
