// CallerSession: phases, timeouts and I/O of a connection.

#include "callers/caller_session.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "callers/callers_events.h"
#include "callers/error_response.h"
#include "routing/routing_events.h"

namespace pollenrudder {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadBytes = 8 << 10;
// What an open session takes: its objects and a read buffer.
constexpr std::size_t kSessionBytes = 12 << 10;
// A request is copied once more, to be written to the upstream or to another
// instance.
constexpr std::size_t kRequestCopies = 2;
// Limit of pipelined bytes that are read while a request is handled.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;
constexpr std::chrono::seconds kIdleTimeout{75};
constexpr std::chrono::seconds kReceiveTimeout{30};
constexpr std::chrono::seconds kRespondTimeout{30};
// Fallback only: a handler responds by the deadline of its request.
constexpr std::chrono::minutes kHandlingTimeout{30};

std::chrono::nanoseconds TimeoutOf(bool idle, bool receiving, bool handling) {
  if (idle)
    return kIdleTimeout;
  if (receiving)
    return kReceiveTimeout;
  if (handling)
    return kHandlingTimeout;
  return kRespondTimeout;
}

}  // namespace

CallerSession::CallerSession(std::unique_ptr<ByteStream> stream,
                             const ParseLimits& limits,
                             Owner& owner)
    : stream_(std::move(stream)),
      limits_(limits),
      owner_(owner),
      remote_endpoint_(stream_->remote_endpoint()),
      body_limit_([this](const HttpRequest& request) {
        return std::min<std::uint64_t>(
            owner_.handler().BodyLimit(request),
            owner_.memory()->largest_body_bytes() / kRequestCopies);
      }),
      charge_(owner.memory(), this) {}

CallerSession::~CallerSession() {
  // Another thread may be about to call OnReclaimed().
  charge_.Clear();
}

void CallerSession::Start() {
  EnterPhase(Phase::kReceiving);
  if (!UpdateCharge()) {
    Close();
    return;
  }
  stream_->Accept([self = shared_from_this()](error_code error) {
    if (error) {
      self->Close();
      return;
    }
    self->EnterPhase(Phase::kIdle);
    self->StartRead();
  });
}

void CallerSession::CheckTimeout(BootTime now) {
  // A LingeringClose has its own limits.
  if (now < phase_deadline_ || phase_ == Phase::kLingering)
    return;
  const bool progresses = phase_ == Phase::kResponding &&
                          stream_->bytes_written() > written_before_;
  // A caller that is still receiving a response is not idle.
  if (progresses || (phase_ == Phase::kIdle && stream_->HasUndelivered()))
    EnterPhase(phase_);
  else
    Close();
}

void CallerSession::CloseIfIdle() {
  if (phase_ != Phase::kIdle)
    return;
  if (stream_->HasUndelivered())
    Linger(LingeringClose::Peer::kUninformed);
  else
    Close();
}

void CallerSession::Close() {
  if (phase_ == Phase::kEnded)
    return;
  const auto self = shared_from_this();
  phase_ = Phase::kEnded;
  charge_.Clear();
  parser_.reset();
  stream_->Close();
  if (const auto exchange = std::exchange(exchange_, nullptr))
    exchange->Cancel();
  owner_.OnSessionEnded(*this);
}

void CallerSession::EnterPhase(Phase phase) {
  if (phase_ == Phase::kEnded)
    return;
  phase_ = phase;
  phase_started_at_ = BootClock::now();
  written_before_ = stream_->bytes_written();
  phase_deadline_ = phase_started_at_ + TimeoutOf(phase == Phase::kIdle,
                                                  phase == Phase::kReceiving,
                                                  phase == Phase::kHandling);
}

void CallerSession::StartRead() {
  if (reading_ || last_request_read_ || phase_ == Phase::kLingering ||
      phase_ == Phase::kEnded)
    return;
  // Beyond the limit, reading resumes after the response.
  if (phase_ == Phase::kHandling && buffer_.size() >= kMaxPipelinedBytes)
    return;
  reading_ = true;
  stream_->ReadSome(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void CallerSession::OnRead(error_code error, std::size_t bytes) {
  reading_ = false;
  if (phase_ == Phase::kLingering || phase_ == Phase::kEnded)
    return;
  if (error) {
    // A caller that closes its side after the last request still receives the
    // response that is being written.
    if (phase_ == Phase::kResponding)
      keep_alive_ = false;
    else
      Close();
    return;
  }
  buffer_.commit(bytes);
  charge_.Touch(BootClock::now());
  if (phase_ == Phase::kIdle || phase_ == Phase::kReceiving) {
    Parse();
    if (phase_ == Phase::kReceiving && !UpdateCharge())
      Refuse(ErrorKind::kNotRunOverloaded);
  } else if (!UpdateCharge()) {
    DropFurtherRequests();
  }
  StartRead();
}

void CallerSession::DropFurtherRequests() {
  buffer_ = {};
  UpdateCharge();
  last_request_read_ = true;
}

bool CallerSession::UpdateCharge() {
  const std::size_t held = buffer_.size() + response_bytes_ +
                           (parser_ ? parser_->memory_bytes() : 0);
  const BootTime now = BootClock::now();
  // A caller that only waits for its response is not to blame.
  charge_.SetReclaimable(held > 0 || phase_ != Phase::kHandling, now);
  return charge_.TryResize(kSessionBytes + held, now);
}

void CallerSession::OnReclaimed() {
  owner_.Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->phase_ == Phase::kEnded)
      return;
    EventLog::Write(kSessionReclaimed, {});
    self->Close();
  });
}

void CallerSession::Parse() {
  if (!parser_)
    parser_ = std::make_unique<HttpRequestParser>(limits_, body_limit_);
  switch (parser_->Parse(buffer_)) {
    case ParseStatus::kNeedMore:
      if (phase_ == Phase::kIdle)
        EnterPhase(Phase::kReceiving);
      if (parser_->TakeExpectContinue())
        Write("HTTP/1.1 100 Continue\r\n\r\n", [](error_code) {});
      return;
    case ParseStatus::kDone:
      OnRequest();
      return;
    case ParseStatus::kMalformed:
      Refuse(ErrorKind::kMalformedRequest);
      return;
    case ParseStatus::kHeaderTooLarge:
      Refuse(ErrorKind::kHeaderTooLarge);
      return;
    case ParseStatus::kBodyTooLarge:
      Refuse(ErrorKind::kBodyTooLarge);
      return;
  }
}

void CallerSession::OnRequest() {
  const auto parser = std::move(parser_);
  const std::size_t request_bytes = parser->memory_bytes();
  HttpRequest& request = parser->request();
  head_request_ = request.method == "HEAD";
  keep_alive_ = request.keep_alive;
  EnterPhase(Phase::kHandling);
  // The session's charge is passed on to the exchange.
  UpdateCharge();
  exchange_ = std::make_shared<CallerExchange>(
      std::move(request), remote_endpoint_,
      [self = shared_from_this()](const HttpResponse& response) {
        self->Respond(response, false);
      });
  exchange_->charge.emplace(owner_.memory());
  if (!exchange_->charge->TryResize(request_bytes * kRequestCopies,
                                    BootClock::now())) {
    Refuse(ErrorKind::kNotRunOverloaded);
    return;
  }
  owner_.handler().Handle(exchange_);
}

void CallerSession::Refuse(ErrorKind kind) {
  EventLog::WriteLazily(kRequestRefused, [kind] {
    return std::vector<LogField>{{"error", DescribeError(kind).name}};
  });
  EnterPhase(Phase::kHandling);
  parser_.reset();
  buffer_ = {};
  // The start of the next request is unknown, so the connection closes.
  Respond(CreateErrorResponse(kind, {}), true);
}

void CallerSession::Respond(const HttpResponse& response, bool close) {
  exchange_ = nullptr;
  if (phase_ == Phase::kEnded)
    return;
  close_after_response_ =
      close || !keep_alive_ || last_request_read_ || owner_.is_closing();
  EnterPhase(Phase::kResponding);
  std::string text =
      FormatResponse(response, head_request_, close_after_response_);
  response_bytes_ = text.size();
  if (!UpdateCharge()) {
    EventLog::Write(kResponseDropped, {{"bytes", response_bytes_}});
    response_bytes_ = 0;
    Linger(LingeringClose::Peer::kUninformed);
    return;
  }
  Write(std::move(text), [self = shared_from_this()](error_code error) {
    self->OnResponseWritten(error);
  });
}

void CallerSession::OnResponseWritten(error_code error) {
  if (phase_ == Phase::kEnded)
    return;
  response_bytes_ = 0;
  if (error) {
    Close();
    return;
  }
  if (close_after_response_ || !keep_alive_ || last_request_read_) {
    Linger(close_after_response_ ? LingeringClose::Peer::kInformed
                                 : LingeringClose::Peer::kUninformed);
    return;
  }
  EnterPhase(Phase::kIdle);
  if (buffer_.size() > 0)
    Parse();
  if (IsWaitingForCaller())
    UpdateCharge();
  // Its response announced that the connection stays open, but was not written
  // before the other idle connections were closed.
  if (owner_.is_closing_idle())
    CloseIfIdle();
  StartRead();
}

void CallerSession::Linger(LingeringClose::Peer caller) {
  EnterPhase(Phase::kLingering);
  parser_.reset();
  buffer_ = {};
  UpdateCharge();
  stream_->Linger(caller, [self = shared_from_this()] { self->Close(); });
}

void CallerSession::Write(std::string text,
                          std::function<void(error_code)> handler) {
  auto shared = std::make_shared<std::string>(std::move(text));
  const auto buffer = boost::asio::buffer(*shared);
  stream_->Write(
      buffer, [shared = std::move(shared), handler = std::move(handler)](
                  error_code error, std::size_t /*bytes*/) { handler(error); });
}

}  // namespace pollenrudder
