// CallerConnection over a Boost.Asio socket.

#include "entry/caller_connection.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <boost/asio/write.hpp>

#include "entry/caller_connection_handler.h"
#include "entry/socket_options.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 4096;
// Added to the limits on time, since a caller measures them on its own clock.
constexpr std::chrono::milliseconds kTimeSlack{250};
// A new connection is not closed before its first request can have arrived.
constexpr std::chrono::milliseconds kFirstRequestTime{300};
// How long a caller has to read the last answer of a connection. A request that
// it sends meanwhile must learn soon that it is not read.
constexpr std::chrono::milliseconds kLingerTime{150};

}  // namespace

std::shared_ptr<CallerConnection> CallerConnection::Create(
    boost::asio::ip::tcp::socket socket,
    CallerConnectionHandler& owner) {
  return std::shared_ptr<CallerConnection>(
      new CallerConnection(std::move(socket), owner));
}

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   CallerConnectionHandler& owner)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      owner_(owner),
      limits_(owner.CurrentLimits()) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  SetConnectionOptions(socket_);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  idle_since_ = BootClock::now();
  Read();
  ArmTimer();
}

bool CallerConnection::IsIdle() const {
  return places_.empty() && writing_.empty() && buffer_.size() == 0 &&
         (!parser_ || !parser_->started());
}

void CallerConnection::StartLeaving() {
  leaving_ = true;
  if (IsIdle() && BootClock::now() - idle_since_ > kFirstRequestTime)
    Close();
}

void CallerConnection::Abort() {
  Close();
}

void CallerConnection::StopReading() {
  StartLeaving();
  if (closed_ || stopped_reading_)
    return;
  stopped_reading_ = true;
  last_request_read_ = true;
  if (places_.empty() && writing_.empty())
    Close();
}

void CallerConnection::Read() {
  if (reading_ || closed_ || closing_ || stopped_reading_)
    return;
  reading_ = true;
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](boost::system::error_code error) {
        self->reading_ = false;
        self->OnReadable(error);
      });
}

void CallerConnection::OnReadable(boost::system::error_code error) {
  if (closed_)
    return;
  if (closing_) {
    if (writing_.empty())
      ReadToEnd();
    return;
  }
  if (stopped_reading_)
    return;
  std::size_t bytes = 0;
  if (!error)
    bytes = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error == boost::asio::error::would_block) {
    Read();
    return;
  }
  if (error) {
    if (!places_.empty())
      owner_.OnCallerDisconnected(shared_from_this());
    Close();
    return;
  }
  buffer_.commit(bytes);
  ParseRequests();
}

void CallerConnection::ParseRequests() {
  while (!closed_ && !closing_ && !last_request_read_ &&
         places_.size() < kMaxPipelined) {
    if (!parser_) {
      limits_ = owner_.CurrentLimits();
      parser_ = std::make_unique<HttpRequestParser>(
          ParseLimits{limits_.header_bytes, limits_.body_bytes},
          no_body_limit_);
      request_began_ = BootClock::now();
    }
    const bool was_empty = !parser_->started() && buffer_.size() == 0;
    const ParseStatus status = parser_->Parse(buffer_);
    if (status == ParseStatus::kNeedMore) {
      if (was_empty)
        parser_.reset();
      else if (parser_->TakeExpectContinue() && places_.empty() &&
               writing_.empty()) {
        writing_ = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(
            socket_, boost::asio::buffer(writing_),
            [self = shared_from_this()](boost::system::error_code error,
                                        std::size_t /*bytes*/) {
              self->OnWritten(error);
            });
      }
      break;
    }
    if (status != ParseStatus::kDone) {
      Refuse(status == ParseStatus::kHeaderTooLarge ? ErrorKind::kHeaderTooLarge
             : status == ParseStatus::kBodyTooLarge
                 ? ErrorKind::kBodyTooLarge
                 : ErrorKind::kMalformedRequest);
      return;
    }
    HttpRequest request = std::move(parser_->request());
    parser_.reset();
    places_.push_back({next_place_++, request.method == "HEAD",
                       request.keep_alive, std::nullopt});
    last_request_read_ = !request.keep_alive;
    owner_.OnRequest(shared_from_this(), places_.back().number,
                     std::move(request));
  }
  // Reading goes on while requests are answered, to see the caller leave.
  if (places_.size() < kMaxPipelined)
    Read();
  ArmTimer();
}

void CallerConnection::Refuse(ErrorKind kind) {
  owner_.OnBadRequest(kind);
  places_.push_back({next_place_++, false, false, std::nullopt});
  last_request_read_ = true;
  SendResponse(places_.back().number, owner_.MakeErrorResponse(kind),
               /*close=*/true);
}

void CallerConnection::SendResponse(std::uint64_t sequence,
                                    const HttpResponse& response,
                                    bool close) {
  if (closed_)
    return;
  const auto at = std::ranges::find(places_, sequence, &Place::number);
  if (at == places_.end())
    return;
  assert(!at->answer);
  if (leaving_ && sequence == next_place_ - 1)
    last_request_read_ = true;
  at->close = close || !at->keep_alive ||
              (last_request_read_ && sequence == next_place_ - 1);
  at->answer = FormatResponse(response, at->head_request, at->close);
  Flush();
}

void CallerConnection::Flush() {
  if (!writing_.empty() || closed_)
    return;
  bool close = false;
  while (!close && !places_.empty() && places_.front().answer) {
    writing_ += *places_.front().answer;
    close = places_.front().close;
    places_.pop_front();
  }
  if (writing_.empty())
    return;
  if (close) {
    closing_ = true;
    // Requests behind the last answer are not answered; their callers send
    // them again.
    if (!places_.empty())
      owner_.OnCallerDisconnected(shared_from_this());
    places_.clear();
  }
  boost::asio::async_write(
      socket_, boost::asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t /*bytes*/) {
        self->OnWritten(error);
      });
}

void CallerConnection::OnWritten(boost::system::error_code error) {
  writing_.clear();
  if (closed_)
    return;
  if (error) {
    if (!places_.empty())
      owner_.OnCallerDisconnected(shared_from_this());
    Close();
    return;
  }
  if (closing_) {
    Linger();
    return;
  }
  idle_since_ = BootClock::now();
  if (places_.empty()) {
    writing_.shrink_to_fit();
    if (leaving_ && IsIdle()) {
      Close();
      return;
    }
  }
  Flush();
  ParseRequests();
}

void CallerConnection::Linger() {
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kLingerTime);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (const auto self = weak.lock(); self && !error)
      self->Close();
  });
  if (!reading_ && !stopped_reading_)
    ReadToEnd();
}

void CallerConnection::ReadToEnd() {
  buffer_.clear();
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t /*bytes*/) {
        self->reading_ = false;
        if (error)
          self->Close();
        else if (!self->closed_)
          self->ReadToEnd();
      });
}

void CallerConnection::ArmTimer() {
  if (closed_ || closing_)
    return;
  const bool partial = parser_ && (parser_->started() || buffer_.size() > 0);
  const auto limit = partial ? limits_.request_timeout : limits_.idle_timeout;
  timer_.expires_after(limit + kTimeSlack);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (const auto self = weak.lock(); self && !error)
      self->OnTimer();
  });
}

void CallerConnection::OnTimer() {
  if (closed_)
    return;
  const bool partial = parser_ && (parser_->started() || buffer_.size() > 0);
  if (!partial) {
    if (places_.empty() && writing_.empty())
      Close();
    else
      ArmTimer();
    return;
  }
  if (BootClock::now() - request_began_ < limits_.request_timeout) {
    ArmTimer();
    return;
  }
  // Without requests before it, the incomplete one can be answered.
  if (places_.empty())
    Refuse(ErrorKind::kRequestTimeout);
  else
    Close();
}

void CallerConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.OnConnectionClosed(shared_from_this());
}

}  // namespace pollenrudder
