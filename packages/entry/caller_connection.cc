// CallerConnection over a Boost.Asio socket.

#include "entry/caller_connection.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "entry/caller_connection_handler.h"
#include "entry/socket_options.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 4096;
// Added to the time limits, since a caller measures them with its own clock.
constexpr std::chrono::milliseconds kTimeoutSlack{250};
// A planned stop closes a connection only after this idle time, so that the
// first request of a new connection can arrive.
constexpr std::chrono::milliseconds kFirstRequestGrace{300};
// What an open connection takes: the receive buffer, and objects and a read
// buffer of about 5 KB.
constexpr std::size_t kConnectionBytes =
    CallerConnection::kReceiveBufferBytes + (8 << 10);
// The receive buffer of a larger request. Connections cannot use more if their
// listening socket has a small one.
constexpr std::size_t kLargeReceiveBufferBytes = 64 << 10;
// Responses are joined into one write up to this size.
constexpr std::size_t kJoinedBytes = 64 << 10;

}  // namespace

std::shared_ptr<CallerConnection> CallerConnection::Create(
    boost::asio::ip::tcp::socket socket,
    CallerConnectionHandler& handler) {
  return std::shared_ptr<CallerConnection>(
      new CallerConnection(std::move(socket), handler));
}

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   CallerConnectionHandler& handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(handler),
      limits_(handler.CurrentLimits()),
      charge_(handler.memory(), this) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  SetConnectionOptions(socket_);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  idle_since_ = BootClock::now();
  if (!UpdateCharge()) {
    Close();
    return;
  }
  Read();
  ArmTimer();
}

bool CallerConnection::IsIdle() const {
  return pending_.empty() && write_buffer_.empty() && buffer_.size() == 0 &&
         (!parser_ || !parser_->started());
}

bool CallerConnection::HasPeerClosed() {
  if (closed_ || closes_soon_ || !socket_.is_open())
    return true;
  char byte = 0;
  boost::system::error_code error;
  socket_.receive(boost::asio::buffer(&byte, 1),
                  boost::asio::ip::tcp::socket::message_peek, error);
  return error && error != boost::asio::error::would_block &&
         error != boost::asio::error::interrupted;
}

void CallerConnection::StartLeaving() {
  leaving_ = true;
  if (!closed_ && !closing_ && IsIdle() &&
      BootClock::now() - idle_since_ > kFirstRequestGrace && !HasUndelivered())
    Close();
}

void CallerConnection::StopReading() {
  StartLeaving();
  if (closed_ || closing_ || closes_soon_ || stopped_reading_)
    return;
  stopped_reading_ = true;
  last_request_read_ = true;
  if (pending_.empty() && write_buffer_.empty())
    Linger(LingeringClose::Peer::kUninformed);
}

void CallerConnection::Read() {
  if (reading_ || closed_ || closing_ || closes_soon_ || stopped_reading_)
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
  if (closed_ || closes_soon_ || closing_ || stopped_reading_)
    return;
  std::size_t bytes = 0;
  if (!error)
    bytes = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error == boost::asio::error::would_block) {
    Read();
    return;
  }
  if (error) {
    if (!pending_.empty())
      handler_.OnCallerDisconnected(shared_from_this());
    pending_.clear();
    waiting_response_bytes_ = 0;
    // A caller that has only closed its sending side receives what is being
    // written.
    if (error == boost::asio::error::eof && !write_buffer_.empty())
      closing_ = true;
    else
      Close();
    return;
  }
  buffer_.commit(bytes);
  charge_.Touch(BootClock::now());
  ParseRequests();
}

void CallerConnection::ParseRequests() {
  while (!closed_ && !closing_ && !closes_soon_ && !last_request_read_ &&
         pending_.size() < kMaxPipelined) {
    if (!parser_) {
      limits_ = handler_.CurrentLimits();
      limits_.body_bytes = std::min<std::uint64_t>(
          limits_.body_bytes, handler_.memory()->largest_body_bytes());
      parser_ = std::make_unique<HttpRequestParser>(
          ParseLimits{limits_.header_bytes, limits_.body_bytes},
          no_body_limit_);
      request_started_at_ = BootClock::now();
    }
    const bool was_empty = !parser_->started() && buffer_.size() == 0;
    const ParseStatus status = parser_->Parse(buffer_);
    if (status == ParseStatus::kNeedMore) {
      if (was_empty)
        parser_.reset();
      else if (parser_->TakeExpectContinue() && pending_.empty() &&
               write_buffer_.empty()) {
        write_buffer_ = "HTTP/1.1 100 Continue\r\n\r\n";
        Write();
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
    const auto request = std::make_shared<ReceivedRequest>(handler_.memory());
    // Before the body is moved out of the parser.
    const std::size_t request_bytes = parser_->memory_bytes();
    request->message = std::move(parser_->request());
    parser_.reset();
    // The connection's charge is passed on to the request.
    UpdateCharge();
    if (!request->charge.TryResize(request_bytes, BootClock::now())) {
      RefuseForMemory();
      return;
    }
    // The request may have taken the memory of its own connection.
    if (closes_soon_)
      return;
    pending_.push_back({next_sequence_++, request->message.method == "HEAD",
                        request->message.keep_alive, std::nullopt});
    last_request_read_ = !request->message.keep_alive;
    handler_.OnRequest(shared_from_this(), pending_.back().sequence, request);
  }
  if (closed_ || closing_ || closes_soon_)
    return;
  // Nothing after the last request is parsed, however much a caller sends.
  if (last_request_read_)
    buffer_.clear();
  UpdateReceiveBuffer();
  if (!UpdateCharge()) {
    RefuseForMemory();
    return;
  }
  // Reading continues while requests are processed, to detect that the caller
  // disconnects.
  if (pending_.size() < kMaxPipelined)
    Read();
  ArmTimer();
}

void CallerConnection::Refuse(ErrorKind kind) {
  handler_.OnBadRequest(kind);
  EndWithError(kind);
}

void CallerConnection::RefuseForMemory() {
  handler_.OnMemoryAction(CallerConnectionHandler::MemoryAction::kRefuse,
                          HeldBytes());
  EndWithError(ErrorKind::kNotRunOverloaded);
}

void CallerConnection::EndWithError(ErrorKind kind) {
  parser_.reset();
  buffer_ = {};
  UpdateCharge();
  pending_.push_back({next_sequence_++, false, false, std::nullopt});
  last_request_read_ = true;
  SendResponse(pending_.back().sequence, handler_.MakeErrorResponse(kind),
               /*close=*/true);
}

void CallerConnection::OnReclaimed() {
  handler_.OnMemoryAction(CallerConnectionHandler::MemoryAction::kClose,
                          HeldBytes());
  // write_buffer_ is being written until the connection is closed.
  parser_.reset();
  buffer_ = {};
  for (PendingResponse& pending : pending_)
    pending.response.reset();
  waiting_response_bytes_ = 0;
  CloseSoon();
}

std::size_t CallerConnection::HeldBytes() const {
  return buffer_.size() + (parser_ ? parser_->memory_bytes() : 0) +
         waiting_response_bytes_ + write_buffer_.size();
}

bool CallerConnection::UpdateCharge() {
  const BootTime now = BootClock::now();
  const std::size_t held = HeldBytes();
  // A caller that only waits for responses is not to blame.
  charge_.SetReclaimable(held > 0 || pending_.empty(), now);
  return charge_.TryResize(
      kConnectionBytes + held +
          (has_large_receive_buffer_ ? kLargeReceiveBufferBytes : 0),
      now);
}

void CallerConnection::UpdateReceiveBuffer() {
  const bool is_large =
      parser_ && parser_->memory_bytes() > kReceiveBufferBytes;
  if (is_large == has_large_receive_buffer_)
    return;
  has_large_receive_buffer_ = is_large;
  SetReceiveBuffer(socket_,
                   is_large ? kLargeReceiveBufferBytes : kReceiveBufferBytes);
}

void CallerConnection::CloseSoon() {
  if (closed_ || closes_soon_)
    return;
  closes_soon_ = true;
  boost::asio::post(timer_.get_executor(), [self = shared_from_this()] {
    if (self->closed_)
      return;
    if (!self->pending_.empty())
      self->handler_.OnCallerDisconnected(self);
    self->Close();
  });
}

void CallerConnection::SendResponse(std::uint64_t sequence,
                                    const HttpResponse& response,
                                    bool close) {
  if (closed_ || closes_soon_)
    return;
  const auto it =
      std::ranges::find(pending_, sequence, &PendingResponse::sequence);
  if (it == pending_.end())
    return;
  assert(!it->response);
  const bool is_last = std::next(it) == pending_.end();
  if (leaving_ && is_last)
    last_request_read_ = true;
  it->close = close || !it->keep_alive || (last_request_read_ && is_last);
  it->response = FormatResponse(response, it->head_request, it->close);
  waiting_response_bytes_ += it->response->size();
  if (!UpdateCharge()) {
    handler_.OnMemoryAction(
        CallerConnectionHandler::MemoryAction::kDropResponse, HeldBytes());
    EndBefore(sequence);
    return;
  }
  Flush();
}

void CallerConnection::EndBefore(std::uint64_t sequence) {
  const auto first =
      std::ranges::find(pending_, sequence, &PendingResponse::sequence);
  const bool is_first = first == pending_.begin();
  if (is_first && write_buffer_.empty() && !HasUndelivered()) {
    CloseSoon();
    return;
  }
  pending_.erase(first, pending_.end());
  waiting_response_bytes_ = 0;
  for (const PendingResponse& pending : pending_)
    waiting_response_bytes_ += pending.response ? pending.response->size() : 0;
  UpdateCharge();
  stopped_reading_ = true;
  last_request_read_ = true;
  if (is_first && write_buffer_.empty())
    Linger(LingeringClose::Peer::kUninformed);
}

void CallerConnection::Flush() {
  if (!write_buffer_.empty() || closed_ || closes_soon_)
    return;
  bool close = false;
  while (!close && !pending_.empty() && pending_.front().response) {
    std::string& response = *pending_.front().response;
    if (write_buffer_.empty())
      std::swap(write_buffer_, response);
    else if (write_buffer_.size() + response.size() <= kJoinedBytes)
      write_buffer_ += response;
    else
      break;
    close = pending_.front().close;
    pending_.pop_front();
  }
  if (write_buffer_.empty())
    return;
  if (close) {
    closing_ = true;
    // Requests after the last response get none; their callers send them again.
    if (!pending_.empty())
      handler_.OnCallerDisconnected(shared_from_this());
    pending_.clear();
  }
  waiting_response_bytes_ = 0;
  for (const PendingResponse& pending : pending_)
    waiting_response_bytes_ += pending.response ? pending.response->size() : 0;
  Write();
}

void CallerConnection::Write() {
  const auto on_progress = [self = shared_from_this()](
                               boost::system::error_code error,
                               std::size_t bytes) {
    if (bytes > 0)
      self->charge_.Touch(BootClock::now());
    return boost::asio::transfer_all()(error, bytes);
  };
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_), on_progress,
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t /*bytes*/) {
        self->OnWritten(error);
      });
}

void CallerConnection::OnWritten(boost::system::error_code error) {
  write_buffer_ = std::string();
  if (closed_ || closes_soon_)
    return;
  UpdateCharge();
  if (error) {
    if (!pending_.empty())
      handler_.OnCallerDisconnected(shared_from_this());
    Close();
    return;
  }
  if (closing_) {
    Linger(LingeringClose::Peer::kInformed);
    return;
  }
  idle_since_ = BootClock::now();
  // The last response did not announce the end of the connection.
  if (pending_.empty() && stopped_reading_) {
    Linger(LingeringClose::Peer::kUninformed);
    return;
  }
  Flush();
  ParseRequests();
}

void CallerConnection::Linger(LingeringClose::Peer caller) {
  closing_ = true;
  timer_.cancel();
  parser_.reset();
  buffer_ = {};
  UpdateCharge();
  lingering_ = LingeringClose::Start(
      std::move(socket_), caller,
      {[self = shared_from_this()] { self->charge_.Touch(BootClock::now()); },
       [self = shared_from_this()] { self->Close(); }});
}

bool CallerConnection::HasUndelivered() {
  return UnacknowledgedBytes(socket_).value_or(0) > 0;
}

bool CallerConnection::IsReceivingRequest() const {
  return !last_request_read_ && parser_ &&
         (parser_->started() || buffer_.size() > 0);
}

void CallerConnection::ArmTimer() {
  if (closed_ || closing_)
    return;
  const auto limit =
      IsReceivingRequest() ? limits_.request_timeout : limits_.idle_timeout;
  timer_.expires_after(limit + kTimeoutSlack);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (const auto self = weak.lock(); self && !error)
      self->OnTimer();
  });
}

void CallerConnection::OnTimer() {
  if (closed_ || closing_)
    return;
  if (!IsReceivingRequest()) {
    // A caller that is still receiving a response is not idle.
    if (pending_.empty() && write_buffer_.empty() && !HasUndelivered())
      Close();
    else
      ArmTimer();
    return;
  }
  if (BootClock::now() - request_started_at_ < limits_.request_timeout) {
    ArmTimer();
    return;
  }
  // Earlier requests on the connection are answered first.
  Refuse(ErrorKind::kRequestTimeout);
}

void CallerConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  charge_.Clear();
  parser_.reset();
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (const auto lingering = lingering_.lock())
    lingering->Close();
  handler_.OnConnectionClosed(shared_from_this());
}

}  // namespace pollenrudder
