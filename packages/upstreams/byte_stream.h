// A connection that carries bytes, with or without TLS.

#ifndef POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_
#define POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_

#include <functional>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace pollenrudder {

// Hides whether a connection uses TLS from the HTTP code. Used on one thread.
// Handlers are called from the event loop, never from inside a call.
class ByteStream {
 public:
  using Handler = std::function<void(boost::system::error_code, std::size_t)>;
  using OpenHandler = std::function<void(boost::system::error_code)>;

  virtual ~ByteStream() = default;

  // Client side: connects, with the handshake of TLS.
  virtual void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                       OpenHandler handler) = 0;
  // Server side: takes part in the handshake of TLS on an accepted socket.
  virtual void Accept(OpenHandler handler) = 0;
  virtual void ReadSome(boost::asio::mutable_buffer buffer,
                        Handler handler) = 0;
  // Writes the whole buffer. With an error, the count tells how much of it may
  // have reached the other side.
  virtual void Write(boost::asio::const_buffer buffer, Handler handler) = 0;
  // Ends pending operations; their handlers are called with an error.
  virtual void Close() = 0;
  // The other side's address, or an unspecified one.
  virtual boost::asio::ip::tcp::endpoint remote_endpoint() const = 0;
};

// Creates a stream over a socket without TLS.
std::unique_ptr<ByteStream> CreatePlainStream(
    boost::asio::ip::tcp::socket socket);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_
