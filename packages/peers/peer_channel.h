// Connection for control calls to one peer.

#ifndef POLLENRUDDER_PEERS_PEER_CHANNEL_H_
#define POLLENRUDDER_PEERS_PEER_CHANNEL_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "base/result.h"
#include "peers/json_rpc_codec.h"

namespace pollenrudder {

// Sends calls one at a time and passes each response to its callback. Connects
// on the first call and reconnects when needed. A call that gets no response
// within its timeout closes the connection. Used on the thread of PeerClient.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  // Bytes sent and received by one call.
  struct Usage {
    std::size_t sent = 0;
    std::size_t received = 0;
  };
  // Called once with the result as JSON text, or an error.
  using Callback = std::function<void(Result<std::string>, const Usage&)>;

  // Maximum queue length. A longer queue occurs only if the peer does not
  // respond, and further calls then fail at once.
  static constexpr std::size_t kMaxQueued = 4;

  PeerChannel(boost::asio::any_io_executor executor,
              boost::asio::ip::tcp::endpoint endpoint,
              JsonRpcClientCodec& codec);

  void Call(const char* method,
            const std::string& params,
            std::chrono::milliseconds timeout,
            Callback callback);

  bool idle() const { return !running_; }

 private:
  struct PendingCall {
    std::string message;
    std::chrono::milliseconds timeout;
    Callback callback;
  };

  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<Result<std::string>> Exchange(
      const std::string& message,
      Usage& usage);
  void Close();

  const boost::asio::any_io_executor executor_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  JsonRpcClientCodec& codec_;
  boost::beast::tcp_stream stream_;
  bool connected_ = false;
  bool running_ = false;
  std::deque<PendingCall> queue_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_PEERS_PEER_CHANNEL_H_
