// Incremental parsers of HTTP/1.1 messages.

#ifndef POLLENRUDDER_HTTP_HTTP_PARSER_H_
#define POLLENRUDDER_HTTP_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/http_message.h"

namespace pollenrudder {

// Result of parsing the bytes received so far.
enum class ParseStatus {
  kNeedMore,
  kDone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

// Handling of a response whose body is delimited by the end of the connection.
enum class CloseDelimited { kRefuse, kAccept };

// Size limits of a message. A header that exceeds its limit is rejected before
// it is received completely.
struct ParseLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 16 << 20;
};

// Parses one request; create a new parser for the next one. Call Parse() each
// time bytes have been appended to the buffer, until it returns a status other
// than kNeedMore. Parsed bytes are consumed from the buffer; bytes of the next
// request remain. Without an end of a header, or of the head or trailer of a
// chunk, the header is too large after a limited number of bytes.
class HttpRequestParser {
 public:
  // Returns the body limit of a request, of which only the header has been
  // read.
  using BodyLimit = std::function<std::uint64_t(const HttpRequest&)>;

  HttpRequestParser(const ParseLimits& limits, const BodyLimit& body_limit);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  ParseStatus Parse(boost::beast::flat_buffer& buffer);

  // Returns true once if the sender expects "100 Continue".
  bool TakeExpectContinue();
  // True after the first byte has been parsed.
  bool started() const;
  // Blocks of at least this size are assumed to be mapped one by one, so that
  // only the part that was written takes memory.
  static constexpr std::size_t kMappedBytes = 256 << 10;
  // A body of unknown length is moved as it grows, up to this size. Beyond it,
  // the block for the largest body is reserved.
  static constexpr std::size_t kMovedBytes = kMappedBytes / 2;

  // The bytes that the message takes so far. A body that is moved as it grows
  // counts twice.
  std::size_t memory_bytes() const;
  // Valid after kDone.
  HttpRequest& request();

 private:
  class Core;

  const std::unique_ptr<Core> core_;
};

// Parses one response and skips interim (1xx) responses. A peer that sends no
// end of a header, of the head of a chunk or of interim responses is malformed
// after a limited number of bytes; endless bodies exceed the body limit.
class HttpResponseParser {
 public:
  HttpResponseParser(const ParseLimits& limits,
                     bool head_request,
                     CloseDelimited close_delimited = CloseDelimited::kRefuse);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  // With CloseDelimited::kRefuse, a response whose length depends on the end of
  // the connection is malformed, since a truncated one could not be detected.
  ParseStatus Parse(boost::beast::flat_buffer& buffer);
  // Call when the other side has closed the connection without a reset. Returns
  // kDone if this completes the response.
  ParseStatus EndOfStream();

  // True after the first byte has been parsed.
  bool started() const;
  // Valid after kDone.
  HttpResponse& response();

 private:
  class Core;

  static constexpr int kMaxInterimResponses = 16;

  std::unique_ptr<Core> core_;
  const ParseLimits limits_;
  const bool head_request_;
  const CloseDelimited close_delimited_;
  int interim_responses_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_HTTP_HTTP_PARSER_H_
