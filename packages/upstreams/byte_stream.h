// Byte stream of one network connection, with or without TLS.

#ifndef POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_
#define POLLENRUDDER_UPSTREAMS_BYTE_STREAM_H_

#include <functional>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

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
