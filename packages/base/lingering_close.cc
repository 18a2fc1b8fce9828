// LingeringClose over a Boost.Asio socket.

#include "base/lingering_close.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kCheckInterval{50};
// How long a peer that has acknowledged everything may take to read it and to
// close its side.
constexpr std::chrono::seconds kDeliveredTimeout{2};
// How long a peer may acknowledge nothing.
constexpr std::chrono::seconds kStallTimeout{10};
constexpr std::size_t kReadBytes = 16 << 10;
// The end of the stream counts as a byte until it is acknowledged.
constexpr std::size_t kEndOfStreamBytes = 1;

}  // namespace

std::optional<std::size_t> UnacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  if (ioctl(socket.native_handle(), TIOCOUTQ, &bytes) != 0 || bytes < 0)
    return std::nullopt;
  return static_cast<std::size_t>(bytes);
}

std::shared_ptr<LingeringClose> LingeringClose::Start(tcp::socket socket,
                                                      Peer peer,
                                                      Handlers handlers) {
  std::shared_ptr<LingeringClose> closing(
      new LingeringClose(std::move(socket), peer, std::move(handlers)));
  // Not called back from within Start().
  boost::asio::post(closing->socket_.get_executor(), [closing] {
    closing->CheckProgress();
    closing->WaitForInput();
  });
  return closing;
}

LingeringClose::LingeringClose(tcp::socket socket, Peer peer, Handlers handlers)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      peer_(peer),
      handlers_(std::move(handlers)),
      last_progress_(BootClock::now()) {
  error_code ignored;
  socket_.cancel(ignored);
  socket_.non_blocking(true, ignored);
  unacknowledged_ = UnacknowledgedBytes(socket_);
  // After the end of the stream, a reset would not be seen.
  if (peer_ == Peer::kInformed || unacknowledged_ != 0)
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

LingeringClose::~LingeringClose() = default;

void LingeringClose::Close() {
  if (closed_)
    return;
  closed_ = true;
  handlers_ = {};
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void LingeringClose::End() {
  const auto on_closed = std::move(handlers_.on_closed);
  Close();
  if (on_closed)
    on_closed();
}

void LingeringClose::WaitForInput() {
  if (closed_)
    return;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       if (self->closed_)
                         return;
                       if (error)
                         self->End();
                       else
                         self->DiscardInput();
                     });
}

void LingeringClose::DiscardInput() {
  // What has arrived before the peer acknowledged everything was sent before it
  // could find out that the connection ends. Bytes that arrive after the check
  // are therefore not read with the others.
  error_code error;
  const std::size_t arrived = socket_.available(error);
  if (peer_ == Peer::kUninformed && IsDelivered()) {
    End();
    return;
  }
  std::array<char, kReadBytes> bytes;
  // With nothing to read, this finds the end of the stream or the error.
  const std::size_t size = std::clamp<std::size_t>(arrived, 1, bytes.size());
  socket_.read_some(boost::asio::buffer(bytes, size), error);
  if (error && error != boost::asio::error::would_block) {
    End();
    return;
  }
  WaitForInput();
}

void LingeringClose::ScheduleCheck() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error)
      self->CheckProgress();
  });
}

bool LingeringClose::IsDelivered() {
  const auto bytes = UnacknowledgedBytes(socket_);
  return bytes && *bytes <= kEndOfStreamBytes;
}

void LingeringClose::CheckProgress() {
  if (closed_)
    return;
  const bool delivered = IsDelivered();
  if (delivered && peer_ == Peer::kUninformed) {
    End();
    return;
  }
  const BootTime now = BootClock::now();
  const auto unacknowledged = UnacknowledgedBytes(socket_);
  if (unacknowledged < unacknowledged_) {
    last_progress_ = now;
    if (handlers_.on_progress)
      handlers_.on_progress();
  }
  unacknowledged_ = unacknowledged;
  const std::chrono::nanoseconds limit =
      delivered || !unacknowledged ? kDeliveredTimeout : kStallTimeout;
  if (now - last_progress_ >= limit)
    End();
  else
    ScheduleCheck();
}

}  // namespace pollenrudder
