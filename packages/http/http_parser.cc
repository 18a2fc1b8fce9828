// HTTP/1.1 parsers, implemented with Boost.Beast's basic_parser.

#include "http/http_parser.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace pollenrudder {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using BeastView = boost::beast::string_view;

constexpr std::string_view kControlPrefix = "Pollenrudder-";

std::string_view ToView(BeastView view) {
  return {view.data(), view.size()};
}

// Returns whether a field applies to a single connection and is not forwarded.
// Includes the length fields, which are written anew since chunked bodies are
// reassembled.
bool IsConnectionField(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

bool IsControlField(std::string_view name) {
  return name.size() > kControlPrefix.size() &&
         HeaderNamesEqual(name.substr(0, kControlPrefix.size()),
                          kControlPrefix);
}

// Adds the comma-separated options of a Connection field to `names`.
void AddConnectionOptions(std::string_view value, HeaderNames& names) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    std::string_view name = value.substr(0, comma);
    while (!name.empty() && (name.front() == ' ' || name.front() == '\t'))
      name.remove_prefix(1);
    while (!name.empty() && (name.back() == ' ' || name.back() == '\t'))
      name.remove_suffix(1);
    if (!name.empty())
      names.emplace(name);
    if (comma == std::string_view::npos)
      return;
    value.remove_prefix(comma + 1);
  }
}

ParseStatus StatusOf(const error_code& error) {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow)
    return ParseStatus::kHeaderTooLarge;
  if (error == http::error::body_limit)
    return ParseStatus::kBodyTooLarge;
  return ParseStatus::kMalformed;
}

// Base of both parsers. Collects the fields and the body into a `Message` and
// enforces the limits.
template <bool is_request, typename Message>
class MessageParser : public http::basic_parser<is_request> {
 public:
  explicit MessageParser(const ParseLimits& limits)
      : body_bytes_(limits.body_bytes), header_bytes_(limits.header_bytes) {
    this->eager(true);
    this->header_limit(limits.header_bytes);
    // The body limit is enforced by this class, since it may depend on the
    // header.
    this->body_limit(boost::none);
  }

  Message& message() { return message_; }

  std::size_t memory_bytes() const {
    const std::string& body = message_.body;
    return message_.header_lines.size() + message_.control_lines.size() +
           (is_body_reserved_
                ? std::max(body.size(),
                           std::min(body.capacity(),
                                    HttpRequestParser::kMappedBytes))
                : body.size() * 2);
  }

  ParseStatus ParseFrom(boost::beast::flat_buffer& buffer) {
    while (!this->is_done()) {
      if (buffer.size() == 0)
        return ParseStatus::kNeedMore;
      error_code error;
      const std::size_t used = this->put(buffer.data(), error);
      buffer.consume(used);
      if (!error && used > 0)
        continue;
      if (error && error != http::error::need_more)
        return StatusOf(error);
      // What the parser leaves is part of a header, or of the head or trailer
      // of a chunk, which may not be longer either.
      return buffer.size() > header_bytes_ ? ParseStatus::kHeaderTooLarge
                                           : ParseStatus::kNeedMore;
    }
    return ParseStatus::kDone;
  }

 protected:
  void on_field_impl(http::field field,
                     BeastView name,
                     BeastView value,
                     error_code& error) override {
    if (field == http::field::connection)
      AddConnectionOptions(ToView(value), connection_options_);
    if (IsConnectionField(field))
      return;
    if (field == http::field::host && ++host_field_count_ > 1) {
      error = http::error::bad_field;
      return;
    }
    const bool control =
        field == http::field::unknown && IsControlField(ToView(name));
    AppendHeader(control ? message_.control_lines : message_.header_lines,
                 ToView(name), ToView(value));
  }

  void on_header_impl(error_code& /*error*/) override {
    // Fields that a Connection field lists concern this connection only.
    if (!connection_options_.empty()) {
      message_.header_lines =
          WithoutHeaders(message_.header_lines, connection_options_);
    }
    message_.keep_alive = this->keep_alive();
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override {
    if (length && *length > body_bytes_)
      error = http::error::body_limit;
    else if (length)
      ReserveBody(*length);
  }

  std::size_t on_body_impl(BeastView body, error_code& error) override {
    if (message_.body.size() + body.size() > body_bytes_) {
      error = http::error::body_limit;
      return 0;
    }
    // Growing a large body by moving it would take twice its memory.
    if (!is_body_reserved_ &&
        message_.body.size() + body.size() > HttpRequestParser::kMovedBytes)
      ReserveBody(body_bytes_);
    message_.body.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            BeastView /*extensions*/,
                            error_code& /*error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 BeastView body,
                                 error_code& error) override {
    return on_body_impl(body, error);
  }

  void on_finish_impl(error_code& /*error*/) override {}

  // Reserves address space, of which only the part that is written takes
  // memory.
  void ReserveBody(std::uint64_t bytes) {
    is_body_reserved_ = true;
    message_.body.reserve(static_cast<std::size_t>(bytes));
  }

  Message message_;
  std::uint64_t body_bytes_;
  int host_field_count_ = 0;

 private:
  // Whether the body is not moved any more when it grows.
  bool is_body_reserved_ = false;
  const std::uint32_t header_bytes_;
  HeaderNames connection_options_;
};

// Reduces "http://host/path" to "/path".
std::string_view ToOriginForm(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  if (!target.starts_with(kScheme))
    return target;
  const std::size_t slash = target.find('/', kScheme.size());
  return slash == std::string_view::npos ? "/" : target.substr(slash);
}

}  // namespace

class HttpRequestParser::Core : public MessageParser<true, HttpRequest> {
 public:
  Core(const ParseLimits& limits, const BodyLimit& body_limit)
      : MessageParser(limits), body_limit_(body_limit) {}

  bool TakeExpectContinue() { return std::exchange(expects_continue_, false); }

 private:
  void on_request_impl(http::verb method,
                       BeastView method_text,
                       BeastView target,
                       int version,
                       error_code& error) override {
    message_.method = ToView(method_text);
    message_.target = ToOriginForm(ToView(target));
    needs_host_ = version >= 11;
    const bool refused =
        method == http::verb::connect || method == http::verb::trace;
    if (refused || message_.target.empty() || message_.target[0] != '/')
      error = http::error::bad_target;
  }

  void on_response_impl(int /*code*/,
                        BeastView /*reason*/,
                        int /*version*/,
                        error_code& /*error*/) override {}

  void on_field_impl(http::field field,
                     BeastView name,
                     BeastView value,
                     error_code& error) override {
    if (field == http::field::expect)
      expects_continue_ = HeaderNamesEqual(ToView(value), "100-continue");
    MessageParser::on_field_impl(field, name, value, error);
  }

  void on_header_impl(error_code& error) override {
    MessageParser::on_header_impl(error);
    if (needs_host_ && host_field_count_ == 0) {
      error = http::error::bad_field;
      return;
    }
    if (body_limit_)
      body_bytes_ = std::min(body_bytes_, body_limit_(message_));
  }

  const BodyLimit& body_limit_;
  bool needs_host_ = true;
  bool expects_continue_ = false;
};

HttpRequestParser::HttpRequestParser(const ParseLimits& limits,
                                     const BodyLimit& body_limit)
    : core_(std::make_unique<Core>(limits, body_limit)) {}
HttpRequestParser::~HttpRequestParser() = default;

ParseStatus HttpRequestParser::Parse(boost::beast::flat_buffer& buffer) {
  return core_->ParseFrom(buffer);
}

bool HttpRequestParser::TakeExpectContinue() {
  return core_->TakeExpectContinue();
}

bool HttpRequestParser::started() const {
  return core_->got_some();
}

std::size_t HttpRequestParser::memory_bytes() const {
  return core_->memory_bytes();
}

HttpRequest& HttpRequestParser::request() {
  return core_->message();
}

class HttpResponseParser::Core : public MessageParser<false, HttpResponse> {
 public:
  Core(const ParseLimits& limits,
       bool head_request,
       CloseDelimited close_delimited)
      : MessageParser(limits),
        head_request_(head_request),
        close_delimited_(close_delimited) {
    skip(head_request);
  }

 private:
  void on_request_impl(http::verb /*method*/,
                       BeastView /*method_text*/,
                       BeastView /*target*/,
                       int /*version*/,
                       error_code& /*error*/) override {}

  void on_response_impl(int code,
                        BeastView /*reason*/,
                        int /*version*/,
                        error_code& error) override {
    // Three digits that are no status: a caller could not interpret them.
    if (code < 100 || code > 599)
      error = http::error::bad_status;
    message_.status = code;
  }

  void on_field_impl(http::field field,
                     BeastView name,
                     BeastView value,
                     error_code& error) override {
    if (field == http::field::content_length && head_request_)
      message_.head_content_length = ParseNumber(ToView(value));
    if (field == http::field::keep_alive)
      AppendHeader(message_.connection_lines, ToView(name), ToView(value));
    MessageParser::on_field_impl(field, name, value, error);
  }

  void on_header_impl(error_code& error) override {
    MessageParser::on_header_impl(error);
    if (!head_request_ && need_eof() &&
        close_delimited_ == CloseDelimited::kRefuse)
      error = http::error::bad_content_length;
  }

  const bool head_request_;
  const CloseDelimited close_delimited_;
};

HttpResponseParser::HttpResponseParser(const ParseLimits& limits,
                                       bool head_request,
                                       CloseDelimited close_delimited)
    : core_(std::make_unique<Core>(limits, head_request, close_delimited)),
      limits_(limits),
      head_request_(head_request),
      close_delimited_(close_delimited) {}
HttpResponseParser::~HttpResponseParser() = default;

ParseStatus HttpResponseParser::Parse(boost::beast::flat_buffer& buffer) {
  while (true) {
    const ParseStatus status = core_->ParseFrom(buffer);
    if (status != ParseStatus::kDone || core_->message().status / 100 != 1)
      return status;
    if (++interim_responses_ > kMaxInterimResponses)
      return ParseStatus::kMalformed;
    core_ = std::make_unique<Core>(limits_, head_request_, close_delimited_);
  }
}

ParseStatus HttpResponseParser::EndOfStream() {
  if (core_->is_done())
    return ParseStatus::kDone;
  if (!core_->is_header_done() || !core_->need_eof())
    return ParseStatus::kMalformed;
  error_code error;
  core_->put_eof(error);
  return error ? ParseStatus::kMalformed : ParseStatus::kDone;
}

bool HttpResponseParser::started() const {
  return core_->got_some();
}

HttpResponse& HttpResponseParser::response() {
  return core_->message();
}

}  // namespace pollenrudder
