// Implementation of HttpClientConnection.

#include "upstreams/http_client_connection.h"

#include <cassert>
#include <utility>

namespace pollenrudder {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadBytes = 8 << 10;

}  // namespace

std::shared_ptr<HttpClientConnection> HttpClientConnection::Create(
    std::unique_ptr<ByteStream> stream,
    const ParseLimits& limits) {
  return std::shared_ptr<HttpClientConnection>(
      new HttpClientConnection(std::move(stream), limits));
}

HttpClientConnection::HttpClientConnection(std::unique_ptr<ByteStream> stream,
                                           const ParseLimits& limits)
    : stream_(std::move(stream)), limits_(limits) {}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::Connect(
    const boost::asio::ip::tcp::endpoint& endpoint,
    ConnectHandler handler) {
  stream_->Connect(endpoint, [self = shared_from_this(),
                              handler = std::move(handler)](error_code error) {
    if (error) {
      self->stream_->Close();
    } else {
      self->open_ = true;
      self->StartRead();
    }
    handler(error);
  });
}

void HttpClientConnection::Exchange(std::string request,
                                    bool head_request,
                                    ExchangeHandler handler) {
  assert(usable());
  exchange_ = std::make_unique<PendingExchange>(std::move(handler), limits_,
                                                head_request);
  // Shared with the pending write, which can outlive the exchange.
  auto text = std::make_shared<std::string>(std::move(request));
  const auto buffer = boost::asio::buffer(*text);
  stream_->Write(buffer, [self = shared_from_this(), text = std::move(text)](
                             error_code error, std::size_t bytes) {
    self->OnWritten(error, bytes);
  });
}

void HttpClientConnection::Close() {
  open_ = false;
  exchange_.reset();
  on_idle_end_ = nullptr;
  stream_->Close();
}

void HttpClientConnection::StartRead() {
  stream_->ReadSome(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void HttpClientConnection::OnWritten(error_code error, std::size_t bytes) {
  bytes_sent_ += bytes;
  if (!exchange_)
    return;
  if (!error) {
    exchange_->written = true;
    return;
  }
  open_ = false;
  stream_->Close();
  EndExchange(
      {bytes == 0 ? ExchangeOutcome::kNotWritten : ExchangeOutcome::kLost, {}});
}

void HttpClientConnection::OnRead(error_code error, std::size_t bytes) {
  if (!open_)
    return;
  if (error) {
    OnConnectionEnded(error == boost::asio::error::eof);
    return;
  }
  bytes_received_ += bytes;
  buffer_.commit(bytes);
  if (!exchange_) {
    OnConnectionEnded(false);
    return;
  }
  Parse();
  if (open_)
    StartRead();
}

void HttpClientConnection::Parse() {
  switch (exchange_->parser.Parse(buffer_)) {
    case ParseStatus::kNeedMore:
      return;
    case ParseStatus::kDone:
      OnResponseComplete();
      return;
    case ParseStatus::kMalformed:
    case ParseStatus::kHeaderTooLarge:
    case ParseStatus::kBodyTooLarge:
      open_ = false;
      stream_->Close();
      EndExchange({ExchangeOutcome::kInvalidResponse, {}});
      return;
  }
}

void HttpClientConnection::OnResponseComplete() {
  ExchangeResult result{ExchangeOutcome::kAnswered,
                        std::move(exchange_->parser.response())};
  // The connection cannot be reused if bytes follow the response, or if the
  // response arrived before the whole request was written.
  if (!result.response.keep_alive || !exchange_->written ||
      buffer_.size() > 0) {
    open_ = false;
    stream_->Close();
  }
  EndExchange(std::move(result));
}

void HttpClientConnection::OnConnectionEnded(bool orderly) {
  open_ = false;
  stream_->Close();
  if (exchange_) {
    const ExchangeOutcome end = exchange_->parser.started()
                                    ? ExchangeOutcome::kInvalidResponse
                                    : ExchangeOutcome::kLost;
    EndExchange({end, {}});
    return;
  }
  const auto handler = std::exchange(on_idle_end_, nullptr);
  if (handler)
    handler(orderly);
}

void HttpClientConnection::EndExchange(ExchangeResult result) {
  const auto exchange = std::move(exchange_);
  exchange->handler(std::move(result));
}

}  // namespace pollenrudder
