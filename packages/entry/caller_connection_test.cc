// Tests of CallerConnection over loopback connections.

#include "entry/caller_connection.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "entry/caller_connection_handler.h"
#include "entry/loopback_test.h"

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMemoryBytes = 64 << 20;

// Collects the requests; the test sends the responses.
class Handler : public CallerConnectionHandler {
 public:
  CallerLimits CurrentLimits() const override { return {}; }
  const std::shared_ptr<MemoryAccount>& memory() const override {
    return memory_;
  }
  void OnRequest(const std::shared_ptr<CallerConnection>& /*connection*/,
                 std::uint64_t sequence,
                 std::shared_ptr<const ReceivedRequest> /*request*/) override {
    sequences.push_back(sequence);
  }
  void OnCallerDisconnected(
      const std::shared_ptr<CallerConnection>& /*connection*/) override {}
  void OnConnectionClosed(
      const std::shared_ptr<CallerConnection>& /*connection*/) override {
    closed = true;
  }
  void OnBadRequest(ErrorKind /*kind*/) override {}
  void OnMemoryAction(MemoryAction action, std::size_t /*bytes*/) override {
    dropped += action == MemoryAction::kDropResponse ? 1 : 0;
  }
  HttpResponse MakeErrorResponse(ErrorKind /*kind*/) const override {
    HttpResponse response;
    response.status = 503;
    return response;
  }

  std::vector<std::uint64_t> sequences;
  int dropped = 0;
  bool closed = false;

 private:
  const std::shared_ptr<MemoryAccount> memory_ =
      std::make_shared<MemoryAccount>(kMemoryBytes, /*reserve_bytes=*/0);
};

struct Fixture {
  Fixture() {
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    caller.open(tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
    caller.connect(acceptor.local_endpoint());
    connection = CallerConnection::Create(acceptor.accept(), handler);
    connection->Start();
    caller.non_blocking(true);
  }

  void SendRequests(std::size_t count) {
    const std::size_t expected = handler.sequences.size() + count;
    for (std::size_t index = 0; index < count; ++index) {
      boost::asio::write(caller, boost::asio::buffer(std::string(
                                     "GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    }
    REQUIRE(RunUntil(io, [&] { return handler.sequences.size() == expected; }));
  }

  void Respond(std::size_t request, std::size_t bytes) {
    HttpResponse response;
    response.status = 200;
    response.body.assign(bytes, static_cast<char>('a' + request));
    connection->SendResponse(handler.sequences[request], response,
                             /*close=*/false);
  }

  // Reads until the connection ends or `bytes` have been read.
  std::string Read(std::size_t bytes) {
    std::string received;
    std::string part(64 << 10, ' ');
    boost::system::error_code error;
    RunUntil(io, [&] {
      const std::size_t size =
          caller.read_some(boost::asio::buffer(part), error);
      received.append(part, 0, size);
      return received.size() >= bytes ||
             (error && error != boost::asio::error::would_block);
    });
    return received;
  }

  boost::asio::io_context io{1};
  Handler handler;
  tcp::socket caller{io};
  std::shared_ptr<CallerConnection> connection;
};

// Guards against an answer that is cut because a later one on its connection
// does not fit into the memory.
TEST_CASE_METHOD(Fixture, "A dropped response leaves earlier ones whole") {
  // The first is delivered by the system alone, the second is not.
  const std::size_t first_bytes = GENERATE(400 << 10, 8 << 20);
  const bool in_order = GENERATE(true, false);
  SendRequests(3);
  if (in_order) {
    Respond(0, first_bytes);
    Respond(1, kMemoryBytes);
  } else {
    Respond(1, kMemoryBytes);
    Respond(0, first_bytes);
  }
  CHECK(handler.dropped == 1);
  boost::asio::write(caller, boost::asio::buffer(std::string("GET ")));
  const std::string received = Read(2 * first_bytes);
  CHECK(std::ranges::count(received, 'a') >=
        static_cast<std::ptrdiff_t>(first_bytes));
  caller.close();
  CHECK(RunUntil(io, [&] { return handler.closed; }));
}

// Guards against a planned stop that closes a connection right after a response
// that did not announce it, when the caller's next request is on its way.
TEST_CASE_METHOD(Fixture, "A stop announces the end of a used connection") {
  SendRequests(2);
  // Formatted before the stop, but sent after it.
  Respond(1, 100);
  connection->StartLeaving();
  Respond(0, 100);
  CHECK_FALSE(Read(200).empty());
  SendRequests(1);
  Respond(2, 100);
  CHECK(Read(100).find("Connection: close") != std::string::npos);
  caller.close();
  CHECK(RunUntil(io, [&] { return handler.closed; }));
}

}  // namespace
}  // namespace pollenrudder
