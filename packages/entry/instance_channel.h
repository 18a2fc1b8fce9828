// UDP datagrams between the instances.

#ifndef POLLENRUDDER_ENTRY_INSTANCE_CHANNEL_H_
#define POLLENRUDDER_ENTRY_INSTANCE_CHANNEL_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/result.h"
#include "entry/relayed_update.h"
#include "grants/load_report.h"
#include "grants/table_update.h"
#include "quarantine/crash_messages.h"

namespace pollenrudder {

// Sends and receives datagrams; large ones are compressed. Nothing is sent
// again: a lost load report hides a fraction of a second of one instance's
// load, and a lost update is detected with the next one.
class InstanceChannel {
 public:
  // Whether an update may be forwarded to the instances of a zone. One that was
  // forwarded is not forwarded again, so two instances that report to each
  // other do not exchange it forever.
  enum class Hop { kDirect, kForwarded };

  class Listener {
   public:
    virtual ~Listener() = default;
    // `sender` is the "ip:port" of the sending instance.
    virtual void OnLoadReport(const LoadReport& report,
                              const std::string& sender) = 0;
    virtual void OnTableUpdate(const TableUpdate& update, Hop hop) = 0;
    virtual void OnRelayedUpdate(const RelayedUpdate& update,
                                 Hop hop,
                                 const std::string& sender) = 0;
    // `sender` misses the table updates from the log offset `next_offset` on.
    virtual void OnUpdatesRequested(std::uint64_t next_offset,
                                    const std::string& sender) = 0;
    virtual void OnCrashMessage(const CrashMessage& message, Hop hop) = 0;
    virtual void OnQuarantineMessage(const QuarantineMessage& message,
                                     Hop hop) = 0;
  };

  // `address` is "ip:port". Fails with kInvalidSettings if it is in use.
  // `listener` must outlive the channel.
  static Result<std::unique_ptr<InstanceChannel>> Open(
      boost::asio::io_context& io,
      const std::string& address,
      Listener& listener);

  // The receivers, as "ip:port".
  using Addresses = std::vector<std::string>;
  void Send(const Addresses& addresses, const LoadReport& report);
  void Send(const Addresses& addresses, const TableUpdate& update, Hop hop);
  void Send(const Addresses& addresses, const RelayedUpdate& update, Hop hop);
  void Send(const Addresses& addresses, const CrashMessage& message, Hop hop);
  void Send(const Addresses& addresses,
            const QuarantineMessage& message,
            Hop hop);
  // Asks for the table updates from the log offset `next_offset` on.
  void RequestUpdates(const std::string& address, std::uint64_t next_offset);

 private:
  static constexpr std::size_t kMaxDatagramBytes = 60000;

  InstanceChannel(boost::asio::io_context& io, Listener& listener);
  // `tag` is the message type of `text`.
  void SendText(const Addresses& addresses, char tag, const std::string& text);
  void Receive();
  // Returns "ip:port" of the sender of the present datagram.
  std::string SenderAddress() const;
  void Dispatch(std::string_view datagram);

  boost::asio::ip::udp::socket socket_;
  Listener& listener_;
  boost::asio::ip::udp::endpoint sender_;
  std::string buffer_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_INSTANCE_CHANNEL_H_
