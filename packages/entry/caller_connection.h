// The connection of one caller.

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
#include "fleet/caller_limits.h"
#include "http/http_message.h"
#include "http/http_parser.h"

namespace pollenrudder {

class CallerConnectionHandler;

// Reads requests, also several before the first is answered, and writes the
// answers in the order of the requests.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // Requests that a caller may have unanswered; more are read later.
  static constexpr std::size_t kMaxPipelined = 32;

  static std::shared_ptr<CallerConnection> Create(
      boost::asio::ip::tcp::socket socket,
      CallerConnectionHandler& owner);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();
  // Sends the answer when all earlier ones are sent. `close` ends the
  // connection after it; requests behind it are not run.
  void SendResponse(std::uint64_t sequence,
                    const HttpResponse& response,
                    bool close);
  // Ends the connection without an answer to the request at `place`.
  void Abort();

  // No request is unanswered, and none has begun to arrive.
  bool IsIdle() const;
  // Answers the last request read with "Connection: close", and closes an idle
  // connection.
  void StartLeaving();
  // Takes no further request; what has been read is answered.
  void StopReading();
  BootTime idle_since() const { return idle_since_; }

 private:
  struct Place {
    std::uint64_t number;
    bool head_request;
    bool keep_alive;
    std::optional<std::string> answer;
    bool close = false;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerConnectionHandler& owner);

  void Read();
  void OnReadable(boost::system::error_code error);
  void ParseRequests();
  void Refuse(ErrorKind kind);
  void Flush();
  void OnWritten(boost::system::error_code error);
  // Ends the sending side and waits for the caller to end its own, so that
  // bytes still on their way do not reset the connection before the caller has
  // read the last answer.
  void Linger();
  void ReadToEnd();
  void ArmTimer();
  void OnTimer();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  CallerConnectionHandler& owner_;
  CallerLimits limits_;
  boost::beast::flat_buffer buffer_;
  // The parser keeps a reference to its body limit.
  const HttpRequestParser::BodyLimit no_body_limit_;
  std::unique_ptr<HttpRequestParser> parser_;
  // Invariant: in order of arrival; the first is the next to be answered.
  std::deque<Place> places_;
  std::uint64_t next_place_ = 0;
  std::string writing_;
  bool reading_ = false;
  bool closing_ = false;
  bool closed_ = false;
  bool leaving_ = false;
  // Bytes of a caller are left unread, so that it knows they were not taken.
  bool stopped_reading_ = false;
  // The link takes no more requests: the last one asked for the end.
  bool last_request_read_ = false;
  BootTime idle_since_{};
  BootTime request_began_{};
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CALLER_CONNECTION_H_
