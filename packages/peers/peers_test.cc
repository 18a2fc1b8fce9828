// Tests of the control messages between instances over TCP connections.

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"
#include "logstore/http_connection.h"
#include "peers/json_rpc_codec.h"
#include "peers/peer_client.h"
#include "peers/peer_messages.h"
#include "peers/peer_server.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr auto kTimeout = 10s;

// A PeerServer and a PeerClient; the test acts as the control thread of both.
struct ServerFixture : PeerServer::Listener {
  ServerFixture() {
    server =
        PeerServer::Create("127.0.0.1:0", server_inputs, *metrics, tail, *this)
            .value();
    client = PeerClient::Create("client.1", "east", client_inputs, *metrics);
  }

  void OnSnapshotRequested(std::uint64_t call_id) override {
    server->SendSnapshot(call_id, {"part one", "part\ntwo"});
  }

  template <typename Input>
  Input Take(BoundedRing<ControllerInput>& ring) {
    const auto input = ring.PopFor(kTimeout);
    REQUIRE(input.has_value());
    REQUIRE(std::holds_alternative<Input>(*input));
    return std::get<Input>(*input);
  }

  // Sends raw bytes and returns one line of the response; empty if the
  // connection was closed.
  std::string SendRaw(const std::string& bytes) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(ParseSocketAddress(server->address()).value());
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string line;
    asio::read_until(socket, asio::dynamic_buffer(line), '\n', error);
    return error ? std::string() : line;
  }

  const std::unique_ptr<Metrics> metrics = Metrics::Create();
  BoundedRing<ControllerInput> server_inputs{64};
  BoundedRing<ControllerInput> client_inputs{64};
  LogTail tail;
  std::unique_ptr<PeerServer> server;
  std::unique_ptr<PeerClient> client;
};

std::vector<PromisedTerm> Terms() {
  return {
      {"geodata-1", 7}, {"geodata-2", UINT64_MAX}, {"geodata-1", kNoOffset}};
}

// Guards against a voter that grants terms that were not requested, and against
// a promise that is shorter at the voter than the leader assumes.
TEST_CASE("a promise request reaches the voter and its result the leader") {
  ServerFixture fixture;
  const BootTime before = BootClock::now();
  fixture.client->Send(SendPromiseRequest{"voter.1", fixture.server->address(),
                                          900001us, Terms()});
  const auto request = fixture.Take<PromiseRequested>(fixture.server_inputs);
  REQUIRE(request.leader == "client.1");
  REQUIRE(request.terms == Terms());
  REQUIRE(request.duration >= 900001us);
  const auto granted =
      GENERATE(std::vector<std::size_t>{}, std::vector<std::size_t>{1},
               std::vector<std::size_t>{0, 1, 2});
  SendPromiseResponse answer{request.call_id, {}, 99};
  for (const std::size_t index : granted)
    answer.granted.push_back(Terms()[index]);
  fixture.server->Answer(answer);
  const auto answered = fixture.Take<PromiseAnswered>(fixture.client_inputs);
  REQUIRE(answered.answered);
  REQUIRE(answered.voter == "voter.1");
  REQUIRE(answered.granted == answer.granted);
  REQUIRE(answered.voter_offset == 99);
  REQUIRE(answered.requested_at >= before);
}

// Guards against a leader that waits forever for a frozen or absent voter, or
// treats a late response as a current one.
TEST_CASE(
    "a promise request without a response in time is reported as failed") {
  ServerFixture fixture;
  fixture.client->Send(
      SendPromiseRequest{"voter.1", fixture.server->address(), 900ms, Terms()});
  const auto late = fixture.Take<PromiseRequested>(fixture.server_inputs);
  REQUIRE_FALSE(fixture.Take<PromiseAnswered>(fixture.client_inputs).answered);
  fixture.server->Answer({late.call_id, Terms(), 1});
  fixture.client->Send(
      SendPromiseRequest{"voter.1", fixture.server->address(), 900ms, {}});
  const auto next = fixture.Take<PromiseRequested>(fixture.server_inputs);
  fixture.server->Answer({next.call_id, {}, 2});
  const auto answered = fixture.Take<PromiseAnswered>(fixture.client_inputs);
  REQUIRE(answered.answered);
  REQUIRE(answered.voter_offset == 2);
  fixture.client->Send(SendPromiseRequest{"none", "127.0.0.1:1", 900ms, {}});
  REQUIRE_FALSE(fixture.Take<PromiseAnswered>(fixture.client_inputs).answered);
}

// Guards against records that are lost or delayed on the way to a peer of the
// same availability zone, and against a proof time that is later than the read
// of the relaying instance.
TEST_CASE(
    "a waiting same-zone peer gets new records with the age of the read") {
  ServerFixture fixture;
  const auto read_tail = [&](LogOffset from, std::chrono::milliseconds wait) {
    // Shared, because the thread of the client may still be inside Push() after
    // Pop().
    const auto results =
        std::make_shared<BoundedRing<Result<LogRecordsRead>>>(1);
    fixture.client->ReadTail(fixture.server->address(), from, wait,
                             [results](Result<LogRecordsRead> read) {
                               results->Push(std::move(read));
                             });
    std::this_thread::sleep_for(50ms);
    const BootTime proof = BootClock::now() - 1s;
    fixture.tail.Add({1, 3, {{1, "a"}, {2, "b"}}, proof});
    auto result = results->PopFor(kTimeout);
    REQUIRE(result.has_value());
    return *result;
  };
  // The tail was empty at the first request, so the peer must read the log.
  REQUIRE_FALSE(read_tail(1, 5000ms));
  const auto all = read_tail(1, 0ms);
  REQUIRE(all.value().records.size() == 2);
  REQUIRE(all.value().records[1].data == "b");
  REQUIRE(all.value().records[1].offset == 2);
  REQUIRE(all.value().next == 3);
  REQUIRE(BootClock::now() - all.value().proof_time >= 1s);
  // The peer already has all records: the response comes after the wait,
  // without records.
  const auto none = read_tail(3, 100ms);
  REQUIRE(none.value().records.empty());
  REQUIRE(none.value().next == 3);
}

// Guards against load reports, move advice and snapshots that are altered in
// transit.
TEST_CASE("load reports, move advice and snapshots arrive unchanged") {
  ServerFixture fixture;
  const std::string& address = fixture.server->address();
  fixture.client->Send(SendLoadReport{
      "p", address, {"client.1", {{"carta", "carta-1", 12.5, 3, {{7, 4.5}}}}}});
  const auto report = fixture.Take<LoadReported>(fixture.server_inputs);
  REQUIRE(report.upstreams.at(0).shards.at(0).requests_per_second == 4.5);
  REQUIRE(report.upstreams.at(0).upstream == "carta-1");
  fixture.client->Send(
      SendMoveAdvice{"l", address, {"carta-1", {1, 2}, "carta-2"}});
  const auto advice = fixture.Take<MoveAdvised>(fixture.server_inputs);
  REQUIRE(advice.shards == std::vector<std::uint32_t>{1, 2});
  REQUIRE(advice.target == "carta-2");
  const auto parts = std::make_shared<BoundedRing<std::vector<std::string>>>(1);
  fixture.client->FetchSnapshot(address, [parts](auto result) {
    parts->Push(std::move(result).value());
  });
  REQUIRE(parts->PopFor(kTimeout) ==
          std::vector<std::string>{"part one", "part\ntwo"});
}

// Guards against a malformed message that stops or corrupts an instance.
TEST_CASE("a malformed message gets an error or closes the connection") {
  ServerFixture fixture;
  const std::string malformed = GENERATE(
      "", "x", "{}", "[]", "[1,2]", "null", "\"\\", "{\"jsonrpc\":\"2.0\"}",
      R"({"jsonrpc":"2.0","id":1,"method":"no.such","params":{}})",
      R"({"jsonrpc":"2.0","id":1,"method":"promise.request"})",
      R"({"jsonrpc":"2.0","id":1,"method":"promise.request","params":[1]})",
      R"({"jsonrpc":"2.0","id":1,"method":"promise.request","params":{"l":1}})",
      R"({"jsonrpc":"2.0","id":1,"method":"log.tail","params":{"f":-1,"w":0}})",
      R"({"jsonrpc":"2.0","id":{},"method":7,"params":{}})",
      R"([{"jsonrpc":"2.0","id":1,"method":"move.request","params":{}}])");
  const std::string response = fixture.SendRaw(malformed + "\n");
  REQUIRE(response.find("\"error\"") != std::string::npos);
  REQUIRE(fixture.SendRaw(std::string(100000, '[') + "\n").empty());
  REQUIRE(fixture.SendRaw(std::string(1000, '[') + "\n").find("\"error\"") !=
          std::string::npos);
  REQUIRE_FALSE(fixture.server_inputs.Pop().has_value());
  REQUIRE(fixture.metrics->Render().find(
              "pollenrudder_peer_messages_refused_total") != std::string::npos);
}

// Guards against control traffic above 10 KB/s: five voters, four heartbeats a
// second and 10 led upstreams leave 500 bytes for one call and its response.
TEST_CASE(
    "a promise request for ten upstreams and its result fit in 500 bytes") {
  SendPromiseRequest request{"voter.1", "", 900ms, {}};
  for (LogOffset index = 0; index < 10; ++index) {
    request.terms.push_back(
        {"netregister-" + std::to_string(index), 100000 + index});
  }
  JsonRpcClientCodec client;
  JsonRpcServerCodec server({kPromiseMethod});
  const std::string call = client.EncodeCall(
      kPromiseMethod, FormatPromiseParameters("central-1.abcdef", request));
  const std::string response = server.Complete(
      call, FormatPromiseResult(request.terms, {1, request.terms, 100000}));
  REQUIRE(client.DecodeResponse(response).ok);
  REQUIRE(call.size() + response.size() <= 500);
}

}  // namespace
}  // namespace pollenrudder
