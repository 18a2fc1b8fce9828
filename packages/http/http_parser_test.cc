// Tests of the HTTP parsers with unusual messages.

#include "http/http_parser.h"

#include <cstddef>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

template <typename Parser>
ParseStatus Parse(Parser& parser, std::string_view bytes) {
  boost::beast::flat_buffer buffer;
  const std::size_t size =
      boost::asio::buffer_copy(buffer.prepare(bytes.size()),
                               boost::asio::buffer(bytes.data(), bytes.size()));
  buffer.commit(size);
  return parser.Parse(buffer);
}

std::string HeaderLinesOfRequest(const std::string& fields) {
  const HttpRequestParser::BodyLimit no_body_limit;
  HttpRequestParser parser(ParseLimits{}, no_body_limit);
  REQUIRE(Parse(parser, "GET / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n") ==
          ParseStatus::kDone);
  return parser.request().header_lines;
}

std::string HeaderLinesOfResponse(const std::string& fields) {
  HttpResponseParser parser(ParseLimits{}, /*head_request=*/false);
  REQUIRE(Parse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields +
                            "\r\n") == ParseStatus::kDone);
  return parser.response().header_lines;
}

// Guards against a process that hangs for good: an empty field that the
// Connection field lists was found again after each attempt to remove it.
TEST_CASE("Fields that concern one connection are removed") {
  struct Case {
    std::string fields;
    std::string kept;
  };
  const Case cases[] = {
      {"Connection: X-Trace\r\nX-Trace:\r\n", ""},
      {"Connection: X-Trace\r\nX-Trace: \r\nX-Other: 1\r\n", "X-Other: 1\r\n"},
      {"X-Trace:\r\nX-Trace: 2\r\nConnection: close, x-trace\r\n", ""},
      {"X-A: 1\r\nX-Trace:\r\nX-B:\r\nConnection: X-Trace\r\n",
       "X-A: 1\r\nX-B: \r\n"},
      {"Connection: X-Absent, ,\r\nX-A: 1\r\n", "X-A: 1\r\n"},
      {"Connection:\r\nX-A: 1\r\n", "X-A: 1\r\n"},
      {"Connection: X\r\nX-Y: 1\r\nX: X-Y\r\n", "X-Y: 1\r\n"},
  };
  for (const Case& item : cases) {
    INFO(item.fields);
    CHECK(HeaderLinesOfRequest(item.fields) == "Host: a\r\n" + item.kept);
    CHECK(HeaderLinesOfResponse(item.fields) == item.kept);
  }
}

// Guards against a head whose removal of fields takes time that grows with the
// product of options and fields.
TEST_CASE("Many options and many fields are compared in little time") {
  std::string fields = "Connection: ";
  for (int index = 0; index < 3000; ++index)
    fields += "x,";
  fields += "b\r\n";
  std::string kept;
  for (int index = 0; index < 1500; ++index) {
    fields += "a:1\r\nb:\r\n";
    kept += "a: 1\r\n";
  }
  HttpResponseParser parser(ParseLimits{.header_bytes = 64 << 10},
                            /*head_request=*/false);
  REQUIRE(Parse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields +
                            "\r\n") == ParseStatus::kDone);
  CHECK(parser.response().header_lines == kept);
}

// Guards against a process that runs out of memory or time: the head of a chunk
// without an end was collected and searched again at each read.
TEST_CASE("The head and the trailer of a chunk are limited") {
  const std::string chunk_part =
      GENERATE(as<std::string>(), "4;extension=", "0\r\nX-Trailer: ");
  const HttpRequestParser::BodyLimit no_body_limit;
  const ParseLimits limits{.header_bytes = 1 << 10};
  HttpRequestParser parser(limits, no_body_limit);
  boost::beast::flat_buffer buffer;
  const auto parse = [&](std::string_view bytes) {
    buffer.commit(boost::asio::buffer_copy(
        buffer.prepare(bytes.size()),
        boost::asio::buffer(bytes.data(), bytes.size())));
    return parser.Parse(buffer);
  };
  REQUIRE(parse("POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                chunk_part) == ParseStatus::kNeedMore);
  const std::string more(100, 'x');
  ParseStatus status = ParseStatus::kNeedMore;
  for (int round = 0; round < 20 && status == ParseStatus::kNeedMore; ++round)
    status = parse(more);
  CHECK(status == ParseStatus::kHeaderTooLarge);
}

// Guards against bodies that take more memory than they count: one without a
// length is moved as it grows, and a small block keeps its whole capacity.
TEST_CASE("A request counts the memory that its body takes") {
  const HttpRequestParser::BodyLimit no_body_limit;
  const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::size_t lines = std::string("Host: a\r\n").size();
  const std::size_t size = 1000;
  const std::string part(size, 'x');
  HttpRequestParser small(ParseLimits{}, no_body_limit);
  REQUIRE(Parse(small, start + "Content-Length: 5000\r\n\r\n" + part) ==
          ParseStatus::kNeedMore);
  CHECK(small.memory_bytes() >= lines + 5000);
  HttpRequestParser large(ParseLimits{}, no_body_limit);
  REQUIRE(Parse(large, start + "Content-Length: 9000000\r\n\r\n" + part) ==
          ParseStatus::kNeedMore);
  CHECK(large.memory_bytes() == lines + HttpRequestParser::kMappedBytes);
  HttpRequestParser chunked(ParseLimits{}, no_body_limit);
  REQUIRE(Parse(chunked, start + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" +
                             part) == ParseStatus::kNeedMore);
  CHECK(chunked.memory_bytes() == lines + 2 * size);
}

// Guards against a large body in chunks that is refused because it is held
// twice while it grows.
TEST_CASE("A large body of unknown length counts once") {
  const HttpRequestParser::BodyLimit no_body_limit;
  constexpr std::size_t kSize = 2 << 20;
  const std::size_t lines = std::string("Host: a\r\n").size();
  HttpRequestParser parser(ParseLimits{.body_bytes = 64 << 20}, no_body_limit);
  REQUIRE(Parse(parser,
                "POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n200000\r\n" +
                    std::string(kSize, 'x')) == ParseStatus::kNeedMore);
  CHECK(parser.memory_bytes() == lines + kSize);
}

// Guards against a success with an empty or short body, framed as whole, after
// an upstream stopped within the head of its response, or within a body with a
// length, and closed the connection.
TEST_CASE("A response that ends early is not complete") {
  const std::string response =
      "HTTP/1.1 200 OK\r\nX-Stamp: 1.2.3\r\nContent-Type: text/plain\r\n"
      "Connection: close\r\nContent-Length: 4\r\n\r\nbody";
  for (const CloseDelimited close_delimited :
       {CloseDelimited::kRefuse, CloseDelimited::kAccept}) {
    for (std::size_t size = 0; size <= response.size(); ++size) {
      CAPTURE(size);
      HttpResponseParser parser(ParseLimits{}, /*head_request=*/false,
                                close_delimited);
      const bool is_whole = size == response.size();
      const ParseStatus status = Parse(parser, response.substr(0, size));
      CHECK(status == (is_whole ? ParseStatus::kDone : ParseStatus::kNeedMore));
      if (!is_whole)
        CHECK(parser.EndOfStream() != ParseStatus::kDone);
    }
  }
}

// Guards against a caller that gets a status such as 000 from an upstream in
// trouble as the response to its request.
TEST_CASE("A response with a status outside 100 to 599 is malformed") {
  for (const char* status : {"000", "007", "099", "600", "999"}) {
    CAPTURE(status);
    HttpResponseParser parser(ParseLimits{}, /*head_request=*/false);
    CHECK(Parse(parser, std::string("HTTP/1.1 ") + status +
                            " Odd\r\nContent-Length: 0\r\n\r\n") ==
          ParseStatus::kMalformed);
  }
  for (const char* status : {"200", "404", "599"}) {
    CAPTURE(status);
    HttpResponseParser parser(ParseLimits{}, /*head_request=*/false);
    CHECK(Parse(parser, std::string("HTTP/1.1 ") + status +
                            " Usual\r\nContent-Length: 0\r\n\r\n") ==
          ParseStatus::kDone);
  }
}

}  // namespace
}  // namespace pollenrudder
