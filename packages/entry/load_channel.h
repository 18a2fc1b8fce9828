// Datagrams between the instances: load reports and changes of key tables.

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
#include "grants/table_update.h"

namespace pollenrudder {

// Sends and receives datagrams. Nothing is sent again: a lost report costs a
// fraction of a second of one instance's load, and a lost change of a table is
// noticed with the next one, or with the next reading of the log.
class LoadChannel {
 public:
  // `sender` is the "ip:port" that the report came from.
  using ReportHandler =
      std::function<void(const LoadReport&, const std::string& sender)>;
  using UpdateHandler = std::function<void(const TableUpdate&)>;

  // `address` is "ip:port". Fails with kInvalidSettings if it is taken.
  static Result<std::unique_ptr<LoadChannel>> Open(boost::asio::io_context& io,
                                                   const std::string& address,
                                                   ReportHandler on_report,
                                                   UpdateHandler on_update);

  void Send(const std::string& address, const LoadReport& report);
  void Send(const std::string& address, const TableUpdate& update);

 private:
  static constexpr std::size_t kMaxDatagram = 60000;

  LoadChannel(boost::asio::io_context& io,
              ReportHandler on_report,
              UpdateHandler on_update);
  void SendText(const std::string& address, const std::string& text);
  void Receive();

  boost::asio::ip::udp::socket socket_;
  const ReportHandler on_report_;
  const UpdateHandler on_update_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_LOAD_CHANNEL_H_
