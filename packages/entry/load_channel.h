// Datagrams with load reports between the instances.

#ifndef POLLENRUDDER_ENTRY_LOAD_CHANNEL_H_
#define POLLENRUDDER_ENTRY_LOAD_CHANNEL_H_

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/result.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Sends reports and receives those of other instances. A lost datagram costs a
// fraction of a second of one instance's load, so nothing is sent again.
class LoadChannel {
 public:
  using Handler = std::function<void(const LoadReport&)>;

  // `address` is "ip:port". Fails with kInvalidSettings if it is taken.
  static Result<std::unique_ptr<LoadChannel>> Open(boost::asio::io_context& io,
                                                   const std::string& address,
                                                   Handler handler);

  void Send(const std::string& address, const LoadReport& report);

 private:
  static constexpr std::size_t kMaxDatagram = 60000;

  LoadChannel(boost::asio::io_context& io, Handler handler);
  void Receive();

  boost::asio::ip::udp::socket socket_;
  const Handler handler_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_LOAD_CHANNEL_H_
