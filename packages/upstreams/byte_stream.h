// Byte stream of one network connection, with or without TLS.

#ifndef POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_
#define POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "base/lingering_close.h"

namespace pollenrudder {

// Interface between the HTTP code and the transport. Create a stream with a
// factory function such as CreatePlainStream(), then call Connect() or Accept()
// once before the first read or write. Used on one thread. Handlers are called
// from the event loop, never from inside a call.
class ByteStream {
 public:
  using Handler = std::function<void(boost::system::error_code, std::size_t)>;
  using OpenHandler = std::function<void(boost::system::error_code)>;

  virtual ~ByteStream() = default;

  // Client side: connects and performs the TLS handshake, if any.
  virtual void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                       OpenHandler handler) = 0;
  // Server side: performs the TLS handshake, if any, on an accepted socket.
  virtual void Accept(OpenHandler handler) = 0;
  virtual void ReadSome(boost::asio::mutable_buffer buffer,
                        Handler handler) = 0;
  // Writes the whole buffer. On an error, the count is the number of bytes that
  // may have reached the remote side.
  virtual void Write(boost::asio::const_buffer buffer, Handler handler) = 0;
  // The bytes of the writes so far, also of one that is not complete.
  virtual std::uint64_t bytes_written() const = 0;
  // Whether the system still holds written bytes for the remote side.
  virtual bool HasUndelivered() = 0;
  // Closes the stream when the remote side has received what was written, then
  // calls `handler`, but not after Close(). Call nothing else but Close()
  // afterwards.
  virtual void Linger(LingeringClose::Peer peer,
                      std::function<void()> handler) = 0;
  // Cancels pending operations; their handlers are called with an error.
  virtual void Close() = 0;
  // The address of the remote side, or an unspecified address if it is unknown.
  virtual boost::asio::ip::tcp::endpoint remote_endpoint() const = 0;
};

// Creates a stream over a TCP socket, without TLS.
std::unique_ptr<ByteStream> CreatePlainStream(
    boost::asio::ip::tcp::socket socket);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_
