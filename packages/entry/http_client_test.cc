// Tests of HttpClient with servers in trouble.

#include "entry/http_client.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/loopback_test.h"
#include "entry/response_budget.h"
#include "entry/scripted_server_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;

struct Outcome {
  HttpCallResult result;
  std::string body;
};

// A response with the id of the request in `head`.
std::string ResponseTo(const std::string& head, const std::string& body) {
  const std::size_t at = head.find("Id: ") + 4;
  return "HTTP/1.1 200 OK\r\nId: " + head.substr(at, head.find('\r', at) - at) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct Fixture {
  std::shared_ptr<HttpClient> MakeClient(const ScriptedServer& server) {
    return HttpClient::Create(io, server.endpoint());
  }

  std::optional<Outcome> Call(const std::shared_ptr<HttpClient>& client,
                              const std::string& id) {
    std::optional<Outcome> outcome;
    Start(client, id, [&](HttpCallResult result, HttpResponse& response) {
      outcome = Outcome{result, response.body};
    });
    RunUntil(io, [&] { return outcome.has_value(); });
    return outcome;
  }

  void Start(const std::shared_ptr<HttpClient>& client,
             const std::string& id,
             HttpClient::Handler handler) {
    HttpClient::CallOptions options;
    options.timeout = 10s;
    options.close_delimited = close_delimited;
    options.response_budget = &budget;
    options.match = [id](const HttpResponse& response) {
      const auto named = FindHeader(response.header_lines, "Id");
      if (!named)
        return ResponseMatch::kUnidentified;
      return *named == id ? ResponseMatch::kOwn : ResponseMatch::kOther;
    };
    client->Call("GET / HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\n\r\n",
                 std::move(options), std::move(handler));
  }

  boost::asio::io_context io{1};
  ResponseBudget budget{4 << 20};
  CloseDelimited close_delimited = CloseDelimited::kAccept;
};

// Guards against a body that is copied, lost or kept after it was sent.
TEST_CASE("HttpClient sends a shared body after the head and releases it") {
  Fixture fixture;
  const auto server = ServeOnLoopback(
      fixture.io,
      [](const HttpRequest& request, const HttpServer::Respond& respond) {
        HttpResponse response;
        response.status = 200;
        response.body = request.body;
        respond(response);
      });
  const auto client =
      HttpClient::Create(fixture.io, EndpointOf(server->address()));
  const auto account = std::make_shared<MemoryAccount>(/*limit_bytes=*/64 << 20,
                                                       /*reserve_bytes=*/0);
  for (const std::size_t size : {5, 3 << 20, 0}) {
    CAPTURE(size);
    const auto body = std::make_shared<const std::string>(size, 'x');
    HttpClient::CallOptions options;
    options.timeout = 10s;
    options.body = body;
    options.memory = account;
    std::optional<HttpCallResult> result;
    std::string received;
    client->Call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                     std::to_string(size) + "\r\n\r\n",
                 std::move(options),
                 [&](HttpCallResult ended, HttpResponse& response) {
                   result = ended;
                   received = response.body;
                 });
    REQUIRE(RunUntil(fixture.io, [&] { return result.has_value(); }));
    CHECK(result == HttpCallResult::kAnswered);
    CHECK(received == *body);
    CHECK(body.use_count() == 1);
    CHECK(account->used_bytes() == 0);
    REQUIRE(client->IsReusable());
  }
}

// Guards against responses that are received although memory is exhausted.
TEST_CASE("HttpClient gives up a response that does not fit the account") {
  Fixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& head, int) {
    return ScriptedResponse{
        ResponseTo(head, std::string(2 << 20, 'x')), "", {}};
  });
  const auto client = fixture.MakeClient(server);
  const auto account = std::make_shared<MemoryAccount>(
      /*limit_bytes=*/1 << 20, /*reserve_bytes=*/0);
  HttpClient::CallOptions options;
  options.timeout = 10s;
  options.memory = account;
  std::optional<HttpCallResult> result;
  client->Call("GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n", std::move(options),
               [&](HttpCallResult ended, HttpResponse&) { result = ended; });
  REQUIRE(RunUntil(fixture.io, [&] { return result.has_value(); }));
  CHECK(result == HttpCallResult::kInvalidResponse);
  CHECK(account->used_bytes() == 0);
}

// Guards against a renewal of a grant that is never sent: each withheld call
// closed the connection, and the next one would be too new again.
TEST_CASE("HttpClient keeps the connection of a call that is not sent") {
  Fixture fixture;
  ScriptedServer server(fixture.io, [](const std::string& head, int) {
    return ScriptedResponse{ResponseTo(head, "sent"), "", {}};
  });
  const auto client = fixture.MakeClient(server);
  const BootTime started_at = BootClock::now();
  HttpClient::CallOptions options;
  options.may_send = [] { return false; };
  options.stays_open_if_not_sent = true;
  std::optional<HttpCallResult> result;
  client->Call("GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n", std::move(options),
               [&](HttpCallResult ended, HttpResponse&) { result = ended; });
  RunUntil(fixture.io, [&] { return result.has_value(); });
  CHECK(result == HttpCallResult::kNotSent);
  REQUIRE(client->IsReusable());
  const BootTime connected_at = client->connected_at();
  CHECK(connected_at > started_at);
  const auto outcome = fixture.Call(client, "2");
  REQUIRE(outcome);
  CHECK(outcome->body == "sent");
  CHECK(client->connected_at() == connected_at);
  CHECK(server.connections() == 1);
}

// Guards against a second copy of a response that arrives late, on a connection
// that is in use again, and reaches the next caller.
TEST_CASE("HttpClient skips a late copy of an earlier response") {
  Fixture fixture;
  std::string first;
  ScriptedServer server(fixture.io, [&](const std::string& head, int number) {
    const std::string response = ResponseTo(head, std::to_string(number));
    if (number == 1)
      first = response;
    return ScriptedResponse{number == 2 ? first + response : response, "", {}};
  });
  const auto client = fixture.MakeClient(server);
  CHECK(fixture.Call(client, "r1")->body == "1");
  REQUIRE(client->IsReusable());
  const auto second = fixture.Call(client, "r2");
  CHECK(second->result == HttpCallResult::kAnswered);
  CHECK(second->body == "2");
  client->Abort();
}

// As above, for a copy that follows the response at once.
TEST_CASE("HttpClient does not reuse a connection after extra bytes") {
  Fixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string& head, int) {
    return ScriptedResponse{
        ResponseTo(head, "x") + ResponseTo(head, "x"), "", {}};
  });
  const auto client = fixture.MakeClient(server);
  CHECK(fixture.Call(client, "r1")->result == HttpCallResult::kAnswered);
  RunUntil(fixture.io, [&] { return !client->IsReusable(); });
  CHECK_FALSE(client->IsReusable());
}

// Guards against a response that broke off halfway and is delivered as whole.
TEST_CASE("HttpClient reports a response that breaks off as invalid") {
  const std::string bytes = GENERATE(
      std::string(
          "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 10\r\n\r\nhalf"),
      std::string("HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked"
                  "\r\n\r\n4\r\nhalf\r\n"),
      std::string("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Le"));
  const auto end =
      GENERATE(ScriptedResponse::End::kClose, ScriptedResponse::End::kReset);
  Fixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string&, int) {
    return ScriptedResponse{bytes, "", end};
  });
  const auto client = fixture.MakeClient(server);
  const auto outcome = fixture.Call(client, "r1");
  REQUIRE(outcome);
  CHECK(outcome->result != HttpCallResult::kAnswered);
  CHECK_FALSE(client->IsReusable());
}

// As above, for a body that ends with its connection.
TEST_CASE("HttpClient completes a body without length only by a clean end") {
  const auto end =
      GENERATE(ScriptedResponse::End::kClose, ScriptedResponse::End::kReset);
  Fixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string&, int) {
    return ScriptedResponse{"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nbody", "", end};
  });
  const auto client = fixture.MakeClient(server);
  const auto outcome = fixture.Call(client, "r1");
  REQUIRE(outcome);
  CHECK((outcome->result == HttpCallResult::kAnswered) ==
        (end == ScriptedResponse::End::kClose));
}

// As above, for a copy whose body ends with its connection.
TEST_CASE("HttpClient does not take a late copy without length for its own") {
  const bool own_follows = GENERATE(false, true);
  Fixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string& head, int number) {
    const std::string response = ResponseTo(head, std::to_string(number));
    if (number == 1)
      return ScriptedResponse{response, "", {}};
    return ScriptedResponse{"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n1" +
                                (own_follows ? response : std::string()),
                            "", ScriptedResponse::End::kClose};
  });
  const auto client = fixture.MakeClient(server);
  CHECK(fixture.Call(client, "r1")->body == "1");
  REQUIRE(client->IsReusable());
  const auto second = fixture.Call(client, "r2");
  CHECK(second->result == HttpCallResult::kInvalidResponse);
  CHECK_FALSE(client->IsReusable());
}

// Guards against a response between the parts of the system that is used
// although a crash may have cut it.
TEST_CASE("HttpClient refuses a body without length by default") {
  Fixture fixture;
  fixture.close_delimited = HttpClient::CallOptions().close_delimited;
  ScriptedServer server(fixture.io, [&](const std::string&, int) {
    return ScriptedResponse{"HTTP/1.1 200 OK\r\nId: r1\r\n\r\nbody", "",
                            ScriptedResponse::End::kClose};
  });
  const auto outcome = fixture.Call(fixture.MakeClient(server), "r1");
  REQUIRE(outcome);
  CHECK(outcome->result == HttpCallResult::kInvalidResponse);
}

// Guards against bytes without end that occupy the instance until the deadline
// or take its memory: in the head, in a chunk's head, in bodies of each kind,
// in interim responses and in responses to other requests.
TEST_CASE("HttpClient gives up responses without end") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\n";
  const std::string filler(1000, 'x');
  ScriptedResponse response = GENERATE_REF(
      ScriptedResponse{"", filler, {}},
      ScriptedResponse{head + "X: ", filler, {}},
      ScriptedResponse{head, "X: " + filler + "\r\n", {}},
      ScriptedResponse{
          head + "Transfer-Encoding: chunked\r\n\r\n4;", filler, {}},
      ScriptedResponse{head + "Transfer-Encoding: chunked\r\n\r\n",
                       "3e8\r\n" + filler + "\r\n",
                       {}},
      ScriptedResponse{head + "Content-Length: 9000000000\r\n\r\n", filler, {}},
      ScriptedResponse{head + "\r\n", filler, {}},
      ScriptedResponse{"", "HTTP/1.1 100 Continue\r\n\r\n", {}},
      ScriptedResponse{
          "", "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx", {}});
  Fixture fixture;
  ScriptedServer server(fixture.io,
                        [&](const std::string&, int) { return response; });
  const auto client = fixture.MakeClient(server);
  const auto started_at = std::chrono::steady_clock::now();
  const auto outcome = fixture.Call(client, "r1");
  REQUIRE(outcome);
  CHECK(outcome->result == HttpCallResult::kInvalidResponse);
  CHECK_FALSE(client->IsReusable());
  CHECK(fixture.budget.used() == 0);
  // Long before the timeout of the call.
  CHECK(std::chrono::steady_clock::now() - started_at < 5s);
}

// Guards against a process that runs out of memory when a hundred upstreams
// send bodies without end, and against callers of healthy upstreams that are
// refused meanwhile.
TEST_CASE("HttpClient bounds the memory of a hundred endless responses") {
  constexpr int kCalls = 100;
  constexpr std::size_t kLimit = 32 << 20;
  Fixture fixture;
  ScriptedServer server(fixture.io, [&](const std::string& head, int) {
    if (head.find("Id: good") != std::string::npos)
      return ScriptedResponse{ResponseTo(head, std::string(9000, 'y')), "", {}};
    return ScriptedResponse{
        "HTTP/1.1 200 OK\r\nId: bad\r\n\r\n", std::string(50000, 'x'), {}};
  });
  int ended = 0;
  std::size_t peak = 0;
  std::vector<std::shared_ptr<HttpClient>> clients;
  for (int call = 0; call < kCalls; ++call) {
    clients.push_back(fixture.MakeClient(server));
    fixture.Start(clients.back(), "bad",
                  [&](HttpCallResult result, HttpResponse&) {
                    ended += result == HttpCallResult::kInvalidResponse ? 1 : 0;
                  });
  }
  int served = 0;
  while (ended < kCalls) {
    const auto client = fixture.MakeClient(server);
    std::optional<HttpCallResult> good;
    fixture.Start(client, "good",
                  [&](HttpCallResult result, HttpResponse&) { good = result; });
    REQUIRE(RunUntil(fixture.io, [&] {
      peak = std::max(peak, fixture.budget.used());
      return good.has_value();
    }));
    CHECK(good == HttpCallResult::kAnswered);
    client->Abort();
    ++served;
  }
  CHECK(served > 0);
  CHECK(peak < kLimit);
  CHECK(fixture.budget.used() == 0);
}

}  // namespace
}  // namespace pollenrudder
