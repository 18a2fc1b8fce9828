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

// What a parser makes of the bytes received so far.
enum class ParseStatus {
  kNeedMore,
  kDone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

// What to do with a response that ends with its connection.
enum class CloseDelimited { kRefuse, kAccept };

// Limits of a message. A header that does not end within the limit is refused
// before it is held whole.
struct ParseLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 16 << 20;
};

// Parses one request; create a new parser for the next one.
//   switch (parser.Parse(buffer)) ...; consumed bytes leave `buffer`.
class HttpRequestParser {
 public:
  // Returns the body limit of the request whose header was read.
  using BodyLimit = std::function<std::uint64_t(const HttpRequest&)>;

  HttpRequestParser(const ParseLimits& limits, const BodyLimit& body_limit);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  ParseStatus Parse(boost::beast::flat_buffer& buffer);

  // True once, when the sender waits for "100 Continue".
  bool TakeExpectContinue();
  // True once a byte was parsed.
  bool started() const;
  // Valid after kDone.
  HttpRequest& request();

 private:
  class Core;

  const std::unique_ptr<Core> core_;
};

// Parses one response, passing over interim (1xx) responses.
class HttpResponseParser {
 public:
  HttpResponseParser(const ParseLimits& limits,
                     bool head_request,
                     CloseDelimited close_delimited = CloseDelimited::kRefuse);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  // With CloseDelimited::kRefuse, a response whose length only the end of the
  // connection would tell is malformed: a truncated one could not be
  // recognised.
  ParseStatus Parse(boost::beast::flat_buffer& buffer);
  // Call when the other side closed the connection in order, without a reset.
  // Returns kDone if that completes the response.
  ParseStatus EndOfStream();

  // True once a byte was parsed.
  bool started() const;
  // Valid after kDone.
  HttpResponse& response();

 private:
  class Core;

  std::unique_ptr<Core> core_;
  const ParseLimits limits_;
  const bool head_request_;
  const CloseDelimited close_delimited_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_HTTP_HTTP_PARSER_H_
