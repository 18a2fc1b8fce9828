// Server side of one HTTP/1.1 connection.

#ifndef POLLENRUDDER_CALLERS_CALLER_SESSION_H_
#define POLLENRUDDER_CALLERS_CALLER_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "base/boot_clock.h"
#include "base/error_kind.h"
#include "base/memory_account.h"
#include "callers/request_handler.h"
#include "http/http_parser.h"
#include "upstreams/byte_stream.h"

namespace pollenrudder {

// Reads requests in order, passes each one to the RequestHandler and writes the
// response. Reading continues while a request is handled, in order to detect
// that the caller disconnects; bytes read meanwhile belong to the next request.
// Used on one thread. Owned by shared pointers, which pending asynchronous
// operations also hold.
//
// What the session holds is charged to the MemoryAccount: a request that does
// not fit is refused, a response that does not fit ends the session, and the
// account may take the memory of a session without progress.
class CallerSession : public std::enable_shared_from_this<CallerSession>,
                      private MemoryAccount::Holder {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual RequestHandler& handler() = 0;
    virtual const std::shared_ptr<MemoryAccount>& memory() const = 0;
    // Runs `function` soon on the thread of the sessions. Can be called on any
    // thread.
    virtual void Post(std::function<void()> function) = 0;
    // True once each connection must close after its next response.
    virtual bool is_closing() const = 0;
    // True once each connection without a request in progress must close.
    virtual bool is_closing_idle() const = 0;
    virtual void OnSessionEnded(CallerSession& session) = 0;
  };

  CallerSession(std::unique_ptr<ByteStream> stream,
                const ParseLimits& limits,
                Owner& owner);
  ~CallerSession() override;

  void Start();
  // Closes the session if its current phase has exceeded the time limit.
  void CheckTimeout(BootTime now);
  // Closes the session if no request is in progress, when the caller has
  // received the earlier responses.
  void CloseIfIdle();
  // Returns whether no complete request is being handled or responded to.
  bool IsWaitingForCaller() const {
    return phase_ == Phase::kIdle || phase_ == Phase::kReceiving;
  }
  // When the current phase began.
  BootTime phase_started_at() const { return phase_started_at_; }
  void Close();

 private:
  enum class Phase {
    kIdle,
    kReceiving,
    kHandling,
    kResponding,
    // The caller receives the last response.
    kLingering,
    kEnded
  };

  void StartRead();
  void OnRead(boost::system::error_code error, std::size_t bytes);
  void Parse();
  void OnRequest();
  void Refuse(ErrorKind kind);
  void Respond(const HttpResponse& response, bool close);
  void OnResponseWritten(boost::system::error_code error);
  // Ends the session when the caller has received what was written.
  void Linger(LingeringClose::Peer caller);
  // Drops what was read of further requests, of which there is no room, and
  // ends the session after the response.
  void DropFurtherRequests();
  void Write(std::string text,
             std::function<void(boost::system::error_code)> handler);
  void EnterPhase(Phase phase);
  // Charges what the session holds; false if it does not fit.
  bool UpdateCharge();
  // MemoryAccount::Holder:
  void OnReclaimed() override;

  const std::unique_ptr<ByteStream> stream_;
  const ParseLimits limits_;
  Owner& owner_;
  // Cached, since each query is a system call.
  const boost::asio::ip::tcp::endpoint remote_endpoint_;
  const HttpRequestParser::BodyLimit body_limit_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<HttpRequestParser> parser_;
  // Non-null while a request is handled.
  std::shared_ptr<CallerExchange> exchange_;
  Phase phase_ = Phase::kIdle;
  // The session is closed if it is still in this phase at this time.
  BootTime phase_deadline_;
  BootTime phase_started_at_{};
  // The bytes of the response that is being written.
  std::size_t response_bytes_ = 0;
  MemoryAccount::Charge charge_;
  bool reading_ = false;
  bool head_request_ = false;
  bool keep_alive_ = true;
  bool close_after_response_ = false;
  // Set once no further request is read.
  bool last_request_read_ = false;
  // ByteStream::bytes_written() when the phase deadline was set.
  std::uint64_t written_before_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_CALLERS_CALLER_SESSION_H_
