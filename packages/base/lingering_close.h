// Closes a TCP connection after the peer has received everything sent on it.

#ifndef POLLENRUDDER_BASE_LINGERING_CLOSE_H_
#define POLLENRUDDER_BASE_LINGERING_CLOSE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/boot_clock.h"

namespace pollenrudder {

// Returns the bytes that were written to `socket` and that the peer has not
// acknowledged, or nothing if the socket is not connected.
std::optional<std::size_t> UnacknowledgedBytes(
    boost::asio::ip::tcp::socket& socket);

// A socket that is closed while the peer's bytes are unread, or that gets more
// of them afterwards, resets the connection: the peer then loses what is still
// on its way. A LingeringClose shuts down the sending side, discards what the
// peer sends, and closes the socket
//
//  - when the peer has closed its side,
//  - some time after the peer has acknowledged everything, or
//  - when the peer has acknowledged nothing for too long.
//
// Used on the event loop of the socket. Keeps itself alive until it is closed.
class LingeringClose : public std::enable_shared_from_this<LingeringClose> {
 public:
  enum class Peer {
    // It was told that the connection ends, so nothing that it sends is
    // expected to be processed.
    kInformed,
    // It finds out when the sending side is shut down, or at the end if it has
    // received everything before. What it sends afterwards stays unread, so
    // that the reset shows that it was not processed.
    kUninformed,
  };
  struct Handlers {
    // The peer has acknowledged more bytes. May be empty.
    std::function<void()> on_progress;
    // The socket is closed. Not called by Start() or after Close().
    std::function<void()> on_closed;
  };

  static std::shared_ptr<LingeringClose>
  Start(boost::asio::ip::tcp::socket socket, Peer peer, Handlers handlers);
  ~LingeringClose();
  LingeringClose(const LingeringClose&) = delete;
  LingeringClose& operator=(const LingeringClose&) = delete;

  // Closes the socket at once and drops the handlers.
  void Close();

 private:
  LingeringClose(boost::asio::ip::tcp::socket socket,
                 Peer peer,
                 Handlers handlers);

  void WaitForInput();
  void DiscardInput();
  void ScheduleCheck();
  void CheckProgress();
  // Whether the peer is known to have acknowledged everything but the end of
  // the stream.
  bool IsDelivered();
  void End();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const Peer peer_;
  // Empty once the socket is closed.
  Handlers handlers_;
  std::optional<std::size_t> unacknowledged_;
  BootTime last_progress_;
  bool closed_ = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_LINGERING_CLOSE_H_
