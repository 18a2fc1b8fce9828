// Tests of LingeringClose.

#include "base/lingering_close.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace pollenrudder {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Peer = LingeringClose::Peer;
using namespace std::chrono_literals;

// Less than a new connection keeps for a peer that reads nothing.
constexpr std::size_t kAnswerBytes = 1 << 20;
constexpr int kReceiveBufferBytes = 16 << 10;

struct Fixture {
  Fixture() {
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    peer.open(tcp::v4());
    peer.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    peer.connect(acceptor.local_endpoint());
    socket = acceptor.accept();
  }

  void SendAnswer() {
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(kAnswerBytes, 'x')));
  }
  void SendFromPeer(const std::string& bytes) {
    error_code ignored;
    boost::asio::write(peer, boost::asio::buffer(bytes), ignored);
  }

  void Linger(Peer kind) {
    closing = LingeringClose::Start(
        std::move(socket), kind,
        {[this] { ++progress; }, [this] { closed = true; }});
  }

  // Reads what the peer gets, a part after each `pause`, until the connection
  // ends or `limit` has passed; returns the number of bytes.
  std::size_t ReadAll(std::chrono::milliseconds pause,
                      std::chrono::seconds limit = 10s) {
    std::string bytes(64 << 10, ' ');
    std::size_t total = 0;
    const auto end = std::chrono::steady_clock::now() + limit;
    peer.non_blocking(true);
    read_error.clear();
    while (std::chrono::steady_clock::now() < end &&
           (!read_error || read_error == boost::asio::error::would_block)) {
      io.run_for(pause);
      io.restart();
      total += peer.read_some(boost::asio::buffer(bytes), read_error);
    }
    return total;
  }

  // Runs the event loop until the socket is closed; returns the duration.
  std::chrono::steady_clock::duration WaitUntilClosed() {
    const auto start = std::chrono::steady_clock::now();
    while (!closed && std::chrono::steady_clock::now() < start + 60s) {
      io.run_for(10ms);
      io.restart();
    }
    return std::chrono::steady_clock::now() - start;
  }

  boost::asio::io_context io{1};
  tcp::socket peer{io};
  tcp::socket socket{io};
  std::shared_ptr<LingeringClose> closing;
  int progress = 0;
  bool closed = false;
  error_code read_error;
};

// Guards against bytes of the peer that reset the connection while its last
// answer is on its way.
TEST_CASE_METHOD(Fixture, "A lingering close delivers everything") {
  const Peer kind = GENERATE(Peer::kInformed, Peer::kUninformed);
  const bool sends_before = GENERATE(false, true);
  SendAnswer();
  if (sends_before)
    SendFromPeer("request");
  Linger(kind);
  io.run_for(300ms);
  io.restart();
  SendFromPeer("another request");
  CHECK(ReadAll(5ms) == kAnswerBytes);
  CHECK(read_error == boost::asio::error::eof);
  CHECK(progress > 0);
  peer.close();
  WaitUntilClosed();
  CHECK(closed);
}

// Guards against connections that stay open for peers that do not close theirs.
TEST_CASE_METHOD(Fixture, "A lingering close ends after the delivery") {
  SendAnswer();
  Linger(Peer::kInformed);
  CHECK(ReadAll(1ms) == kAnswerBytes);
  CHECK_FALSE(closed);
  CHECK(WaitUntilClosed() < 20s);
  CHECK(closed);
}

// Guards against connections that stay open for peers that read nothing.
TEST_CASE_METHOD(Fixture, "A lingering close ends without progress") {
  SendAnswer();
  Linger(Peer::kInformed);
  CHECK(WaitUntilClosed() > 5s);
  CHECK(closed);
}

// Guards against a peer that takes a request for processed, although nothing
// announced the end of the connection and nobody read it.
TEST_CASE_METHOD(Fixture,
                 "A request after the delivery resets the connection") {
  Linger(Peer::kUninformed);
  SendFromPeer("request");
  WaitUntilClosed();
  ReadAll(1ms);
  CHECK(closed);
  CHECK(read_error == boost::asio::error::connection_reset);
}

// Guards against handlers that are called for an object that is gone.
TEST_CASE_METHOD(Fixture, "Close() drops the handlers of a lingering close") {
  SendAnswer();
  Linger(Peer::kInformed);
  closing->Close();
  CHECK(ReadAll(1ms) <= kAnswerBytes);
  CHECK_FALSE(closed);
}

}  // namespace
}  // namespace pollenrudder
