// The server side of one caller's HTTP/1.1 connection.

#ifndef POLLENRUDDER_ENTRY_CALLER_CONNECTION_H_
#define POLLENRUDDER_ENTRY_CALLER_CONNECTION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "base/lingering_close.h"
#include "base/memory_account.h"
#include "fleet/caller_limits.h"
#include "http/http_message.h"
#include "http/http_parser.h"

namespace pollenrudder {

class CallerConnectionHandler;

// Reads requests, which the caller may pipeline, passes them to the
// CallerConnectionHandler and writes the responses in the order of the
// requests.
//
// What the connection holds is charged to the handler's MemoryAccount: a
// request that does not fit is refused, a response that does not fit ends the
// connection, and the account may take the memory of a connection without
// progress.
//
// Create() one for each accepted socket and call Start(). The connection keeps
// itself alive until it is closed.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         private MemoryAccount::Holder {
 public:
  // Maximum number of unanswered requests; further ones are read later.
  static constexpr std::size_t kMaxPipelined = 32;
  // The bytes that the system keeps of a caller until they are read; more while
  // a larger request is received.
  static constexpr std::size_t kReceiveBufferBytes = 16 << 10;

  static std::shared_ptr<CallerConnection> Create(
      boost::asio::ip::tcp::socket socket,
      CallerConnectionHandler& handler);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();
  // Sends the response after all earlier ones. `close` ends the connection
  // after it; later requests on the connection are not run.
  void SendResponse(std::uint64_t sequence,
                    const HttpResponse& response,
                    bool close);

  // Returns whether the caller has closed its side, including an end of the
  // stream that has arrived and was not read yet.
  bool HasPeerClosed();
  // Returns whether no request is unanswered and none has begun to arrive.
  bool IsIdle() const;
  // Sends the response to the last request read with "Connection: close", and
  // closes an idle connection.
  void StartLeaving();
  // Stops reading requests; those that have been read still get a response. The
  // connection ends when the caller has received the last one.
  void StopReading();
  BootTime idle_since() const { return idle_since_; }

 private:
  struct PendingResponse {
    std::uint64_t sequence;
    bool head_request;
    bool keep_alive;
    std::optional<std::string> response;
    bool close = false;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerConnectionHandler& handler);

  void Read();
  void OnReadable(boost::system::error_code error);
  void ParseRequests();
  void Refuse(ErrorKind kind);
  // MemoryAccount::Holder:
  void OnReclaimed() override;

  // The bytes of the request that is being received and of the responses that
  // are not sent yet.
  std::size_t HeldBytes() const;
  // Charges what the connection takes; false if it does not fit.
  bool UpdateCharge();
  // Uses a larger receive buffer while a large request is received.
  void UpdateReceiveBuffer();
  // Refuses the request that is being received, which does not fit.
  void RefuseForMemory();
  // Frees what was received of a request and responds with `kind` as the last
  // response of the connection.
  void EndWithError(ErrorKind kind);
  // Closes the connection from the event loop, for callers that must not be
  // called back meanwhile.
  void CloseSoon();
  void Flush();
  // Writes write_buffer_, which must not be empty.
  void Write();
  void OnWritten(boost::system::error_code error);
  // Drops the response to the request `sequence` and all later ones, and ends
  // the connection after the earlier ones.
  void EndBefore(std::uint64_t sequence);
  // Ends the connection when the caller has received what was written.
  // Precondition: write_buffer_ is empty.
  void Linger(LingeringClose::Peer caller);
  // Whether a part of a request has arrived that will be processed.
  bool IsReceivingRequest() const;
  // Whether the system still holds response bytes for the caller.
  bool HasUndelivered();
  void ArmTimer();
  void OnTimer();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  CallerConnectionHandler& handler_;
  CallerLimits limits_;
  boost::beast::flat_buffer buffer_;
  // The parser keeps a reference to its body limit.
  const HttpRequestParser::BodyLimit no_body_limit_;
  std::unique_ptr<HttpRequestParser> parser_;
  // Invariant: in order of arrival; the first is the next to be sent.
  std::deque<PendingResponse> pending_;
  std::uint64_t next_sequence_ = 0;
  // Responses in pending_.
  std::size_t waiting_response_bytes_ = 0;
  std::string write_buffer_;
  // Empty as soon as the account has taken the memory.
  MemoryAccount::Charge charge_;
  bool has_large_receive_buffer_ = false;
  bool reading_ = false;
  // Set once no more responses follow those in write_buffer_.
  bool closing_ = false;
  bool closed_ = false;
  bool leaving_ = false;
  // Set once the connection is to be closed from the event loop.
  bool closes_soon_ = false;
  // Set once bytes of the caller are left unread, which shows the caller that
  // they were not processed. The connection ends after the pending responses.
  bool stopped_reading_ = false;
  // Set once no more requests are parsed because the last one ends the
  // connection.
  bool last_request_read_ = false;
  BootTime idle_since_{};
  BootTime request_started_at_{};
  // Has the socket while the caller receives the last response.
  std::weak_ptr<LingeringClose> lingering_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_CONNECTION_H_
