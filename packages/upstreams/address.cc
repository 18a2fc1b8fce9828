// Addresses in the form "ip:port".

#include "upstreams/address.h"

#include <cstdint>
#include <limits>

#include <boost/asio/ip/address.hpp>

#include "upstreams/http_message.h"

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
  const auto port = ParseNumber(address.substr(colon + 1));
  boost::system::error_code error;
  const auto parsed = boost::asio::ip::make_address(std::string(ip), error);
  if (error || !port || *port > std::numeric_limits<std::uint16_t>::max())
    return fail();
  return tcp::endpoint(parsed, static_cast<std::uint16_t>(*port));
}

tcp::endpoint EndpointOf(std::string_view address) {
  auto parsed = ParseSocketAddress(address);
  return parsed ? parsed.value() : tcp::endpoint();
}

std::string SocketAddressText(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const bool version_6 = endpoint.address().is_v6();
  return (version_6 ? "[" + ip + "]" : ip) + ":" +
         std::to_string(endpoint.port());
}

}  // namespace pollenrudder
