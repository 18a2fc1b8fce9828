// HttpClient over a Boost.Asio socket.

#include "entry/http_client.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "entry/socket_options.h"

namespace pollenrudder {
namespace {

constexpr std::size_t kReadBytes = 4096;
// A server sends at most a few copies of earlier responses; one that goes on is
// in trouble.
constexpr int kMaxSkippedResponses = 3;

// Parses "timeout=N" of a Keep-Alive field.
std::optional<std::chrono::seconds> KeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t position = value.find(kName);
  if (position == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(position + kName.size());
  const auto seconds = ParseNumber(value.substr(0, value.find(',')));
  if (!seconds)
    return std::nullopt;
  return std::chrono::seconds(*seconds);
}

}  // namespace

std::shared_ptr<HttpClient> HttpClient::Create(
    boost::asio::io_context& io,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  return std::shared_ptr<HttpClient>(new HttpClient(io, endpoint));
}

HttpClient::HttpClient(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& endpoint)
    : socket_(io), timer_(io), endpoint_(endpoint) {}

HttpClient::~HttpClient() = default;

void HttpClient::Call(std::string request,
                      CallOptions options,
                      Handler handler) {
  assert(IsReusable());
  request_ = std::move(request);
  options_ = std::move(options);
  handler_ = std::move(handler);
  write_started_ = false;
  write_failed_ = false;
  skipped_responses_ = 0;
  ++call_id_;
  if (options_.memory)
    memory_charge_.emplace(options_.memory);
  parser_ = std::make_unique<HttpResponseParser>(
      ParseLimits{.body_bytes = options_.body_limit}, options_.head_request,
      options_.close_delimited);
  ArmTimer(connected_ ? options_.timeout
                      : std::min(options_.connect_timeout, options_.timeout));
  if (connected_)
    Write();
  else
    Connect();
}

bool HttpClient::TryAddReceived(std::size_t bytes) {
  if (memory_charge_ &&
      !memory_charge_->TryResize(received_bytes_ + bytes, BootClock::now()))
    return false;
  if (options_.response_budget != nullptr &&
      !options_.response_budget->TryAdd(received_bytes_, bytes))
    return false;
  received_bytes_ += bytes;
  return true;
}

void HttpClient::ReleaseReceived() {
  memory_charge_.reset();
  const std::size_t bytes = std::exchange(received_bytes_, 0);
  if (bytes > 0 && options_.response_budget != nullptr)
    options_.response_budget->Release(bytes);
}

void HttpClient::Abort() {
  ReleaseReceived();
  handler_ = nullptr;
  ++call_id_;
  Close();
}

void HttpClient::ArmTimer(std::chrono::nanoseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(),
                     call_id = call_id_](boost::system::error_code error) {
    if (!error && call_id == self->call_id_)
      self->OnTimeout();
  });
}

void HttpClient::Connect() {
  socket_.async_connect(
      endpoint_, [self = shared_from_this(),
                  call_id = call_id_](boost::system::error_code error) {
        if (call_id != self->call_id_)
          return;
        if (error) {
          self->Finish(error == boost::asio::error::connection_refused
                           ? HttpCallResult::kRefused
                           : HttpCallResult::kNotConnected);
          return;
        }
        SetConnectionOptions(self->socket_);
        self->connected_ = true;
        self->connected_at_ = BootClock::now();
        self->ArmTimer(self->options_.timeout);
        self->Write();
      });
}

void HttpClient::Write() {
  if (options_.may_send && !options_.may_send()) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), call_id = call_id_] {
                        if (call_id == self->call_id_)
                          self->Finish(HttpCallResult::kNotSent);
                      });
    return;
  }
  write_started_ = true;
  writing_ = true;
  const std::array<boost::asio::const_buffer, 2> bytes = {
      boost::asio::buffer(request_), options_.body
                                         ? boost::asio::buffer(*options_.body)
                                         : boost::asio::const_buffer()};
  boost::asio::async_write(
      socket_, bytes,
      [self = shared_from_this(), call_id = call_id_](
          boost::system::error_code error, std::size_t /*bytes*/) {
        self->writing_ = false;
        self->options_.body.reset();
        if (call_id != self->call_id_ || !error)
          return;
        self->write_failed_ = true;
        // The server may have rejected the request before reading all of it,
        // and its response may have arrived; the pending read decides.
        if (!self->reading_)
          self->Finish(HttpCallResult::kConnectionLost);
      });
  if (!reading_)
    Read();
}

void HttpClient::Read() {
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](boost::system::error_code error,
                                  std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void HttpClient::OnRead(boost::system::error_code error, std::size_t bytes) {
  if (!handler_ || !write_started_) {
    // The server closed an idle connection or sent bytes without a request.
    if (handler_)
      Finish(HttpCallResult::kNotConnected);
    else
      Close();
    return;
  }
  if (!parser_->started() && buffer_.size() == 0)
    response_started_at_ = BootClock::now();
  buffer_.commit(bytes);
  if (!TryAddReceived(bytes)) {
    Finish(HttpCallResult::kInvalidResponse);
    return;
  }
  const bool at_end = error.failed();
  if (at_end && !IsEndedBy(error)) {
    Finish(parser_->started() ? HttpCallResult::kInvalidResponse
                              : HttpCallResult::kConnectionLost);
    return;
  }
  unusable_ |= at_end;
  while (true) {
    const ParseStatus status =
        at_end ? ParseStatus::kDone : parser_->Parse(buffer_);
    if (status == ParseStatus::kNeedMore) {
      if (options_.progress_timeout.count() > 0)
        ArmTimer(options_.progress_timeout);
      Read();
      return;
    }
    if (status != ParseStatus::kDone) {
      Finish(HttpCallResult::kInvalidResponse);
      return;
    }
    const ResponseMatch match = options_.match
                                    ? options_.match(parser_->response())
                                    : ResponseMatch::kOwn;
    if (match == ResponseMatch::kUnidentified) {
      has_unidentified_response_ = true;
      unusable_ |= options_.ends_when_unidentified;
    }
    if (match != ResponseMatch::kOther)
      break;
    // A late response to an earlier request.
    if (at_end || ++skipped_responses_ > kMaxSkippedResponses) {
      Finish(HttpCallResult::kInvalidResponse);
      return;
    }
    parser_ = std::make_unique<HttpResponseParser>(
        ParseLimits{.body_bytes = options_.body_limit}, options_.head_request,
        options_.close_delimited);
  }
  FinishResponse();
}

bool HttpClient::IsEndedBy(boost::system::error_code error) {
  // The system reports a reset once, to the write if one is in progress. A read
  // then gets the end of the stream.
  return error == boost::asio::error::eof && !write_failed_ &&
         HasOrderlyEnd(socket_) && parser_->EndOfStream() == ParseStatus::kDone;
}

void HttpClient::FinishResponse() {
  HttpResponse& response = parser_->response();
  last_response_time_ = BootClock::now();
  idle_deadline_ = BootTime::max();
  if (const auto value = FindHeader(response.connection_lines, "Keep-Alive")) {
    if (const auto timeout = KeepAliveTimeout(*value))
      idle_deadline_ = last_response_time_ + *timeout;
  }
  // Bytes after a complete response belong to no request. A response that came
  // before the whole request was sent leaves the server waiting for the rest.
  if (!response.keep_alive || buffer_.size() > 0 || writing_)
    unusable_ = true;
  Finish(HttpCallResult::kAnswered);
}

void HttpClient::OnTimeout() {
  if (options_.reset_on_timeout)
    ResetConnection(socket_);
  Finish(connected_ && write_started_ ? HttpCallResult::kTimedOut
                                      : HttpCallResult::kNotConnected);
}

void HttpClient::Finish(HttpCallResult result) {
  const auto self = shared_from_this();
  timer_.cancel();
  ++call_id_;
  ReleaseReceived();
  const Handler handler = std::exchange(handler_, nullptr);
  HttpResponse empty_response;
  const std::unique_ptr<HttpResponseParser> parser = std::move(parser_);
  const bool is_idle =
      result == HttpCallResult::kAnswered ||
      (result == HttpCallResult::kNotSent && options_.stays_open_if_not_sent);
  if (!is_idle || unusable_)
    Close();
  else
    WatchIdle();
  if (handler)
    handler(result, parser ? parser->response() : empty_response);
}

void HttpClient::WatchIdle() {
  request_.clear();
  request_.shrink_to_fit();
  if (!reading_)
    Read();
}

void HttpClient::Close() {
  unusable_ = true;
  connected_ = false;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace pollenrudder
