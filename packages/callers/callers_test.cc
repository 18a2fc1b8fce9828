// Tests of CallerServer, Ingress and ForwardHandler over loopback connections.

#include <chrono>
#include <future>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/socket_address.h"
#include "callers/caller_server.h"
#include "callers/forward_handler.h"
#include "callers/ingress.h"
#include "http/http_parser.h"
#include "routing/shard_of.h"
#include "upstreams/fake_upstream_test.h"

namespace pollenrudder {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr LogOffset kFence = 7;
constexpr LogOffset kShardOffset = 9;

class IgnoringListener : public UpstreamListener {
 public:
  void OnUpstreamObserved(UpstreamObserved /*event*/) override {}
  void OnFingerprintConfirmed(FingerprintConfirmed /*event*/) override {}
  void OnDrainFinished(DrainFinished /*event*/) override {}
  void OnLoadReported(LoadReported /*event*/) override {}
};

// An instance with its two servers and its UpstreamSender.
class Instance {
 public:
  explicit Instance(const std::string& name,
                    std::shared_ptr<MemoryAccount> memory =
                        MemoryAccount::ForProcess(std::size_t{256} << 20))
      : sender(UpstreamSender::Create({name, "region"}, reports, *metrics)),
        context{name, "zone", "region", tables, *sender, teams, *metrics} {
    CallerServer::Options options;
    options.address = "127.0.0.1:0";
    options.name = "caller";
    options.memory = std::move(memory);
    options.limits.header_bytes = 2048;
    options.threads = 2;
    callers = Serve<Ingress>(options);
    options.name = "forward";
    options.threads = 1;
    forward = Serve<ForwardHandler>(options);
  }

  ~Instance() {
    callers->Stop();
    forward->Stop();
    sender.reset();
  }

  void Publish(const RoutingTablePointer& table) {
    sender->SetTable(table);
    tables.Publish(table);
  }

  IgnoringListener reports;
  std::unique_ptr<Metrics> metrics = Metrics::Create();
  RoutingTableHolder tables;
  TeamLimits teams;
  std::unique_ptr<UpstreamSender> sender;
  IngressContext context;
  std::unique_ptr<CallerServer> callers;
  std::unique_ptr<CallerServer> forward;

 private:
  template <typename Handler>
  std::unique_ptr<CallerServer> Serve(const CallerServer::Options& options) {
    auto server = CallerServer::Create(
        options,
        [this](boost::asio::io_context& io) {
          return std::make_unique<Handler>(context, io);
        },
        *metrics);
    REQUIRE(server);
    return std::move(server.value());
  }
};

// A blocking HTTP client.
class Client {
 public:
  explicit Client(const std::string& address) : socket_(io_) {
    socket_.connect(EndpointOf(address));
  }

  void Write(const std::string& text) {
    boost::asio::write(socket_, boost::asio::buffer(text));
  }

  HttpResponse Read() {
    HttpResponseParser parser(ParseLimits{}, false);
    boost::system::error_code error;
    ParseStatus status = ParseStatus::kNeedMore;
    while (true) {
      status = parser.Parse(buffer_);
      if (status != ParseStatus::kNeedMore)
        break;
      const std::size_t count = socket_.read_some(buffer_.prepare(4096), error);
      REQUIRE_FALSE(error);
      buffer_.commit(count);
    }
    REQUIRE(status == ParseStatus::kDone);
    return parser.response();
  }

  HttpResponse Exchange(const std::string& text) {
    Write(text);
    return Read();
  }

  // Waits until a response has begun.
  void WaitForBytes() { socket_.wait(tcp::socket::wait_read); }

  // Returns whether the server closed the connection without a reset.
  bool ReadsEndOfStream() {
    boost::system::error_code error;
    char byte = 0;
    socket_.read_some(boost::asio::buffer(&byte, 1), error);
    return error == boost::asio::error::eof;
  }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

std::string Kind(const HttpResponse& response) {
  return std::string(
      FindHeader(response.control_lines, "Pollenrudder-Error").value_or(""));
}

std::string Outcome(const HttpResponse& response) {
  return std::string(
      FindHeader(response.control_lines, "Pollenrudder-Outcome").value_or(""));
}

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string Post(const std::string& target,
                 const std::string& body,
                 const std::string& headers = "") {
  return "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

FakeUpstream::Reply Echo(const std::string& request) {
  return {FakeUpstream::MakeResponse(
      request, request.substr(request.find("\r\n\r\n") + 4))};
}

// Two instances. `leader` is the leader of the upstreams of both services, so
// `other` forwards its requests.
class Fixture {
 public:
  explicit Fixture(FakeUpstream::Script script = Echo)
      : upstream(std::move(script)), leader("leader.1"), other("other.1") {
    Publish();
    leader.sender->ApplyLease({"geo-1", kFence, BootClock::now() + 60s});
    leader.sender->ApplyLease({"crew-1", kFence, BootClock::now() + 60s});
  }

  void Publish() {
    const RoutingTablePointer table = Table();
    leader.Publish(table);
    other.Publish(table);
  }

  RoutingTablePointer Table() const {
    auto table = std::make_shared<RoutingTable>();
    table->upstreams = {Upstream("geo-1", "geodata"),
                        Upstream("crew-1", "crewdesk")};
    RoutedService geodata;
    geodata.settings = Settings("geodata");
    geodata.settings.is_sharded = true;
    geodata.settings.key = {KeySource::Kind::kHeader, "Cell", 0};
    geodata.settings.shards = 4;
    geodata.team_max_in_flight = team_max_in_flight;
    geodata.upstreams = {0};
    geodata.shard_owners.assign(4, 0);
    geodata.shard_offsets.assign(4, shard_offset);
    RoutedService crewdesk;
    crewdesk.settings = Settings("crewdesk");
    crewdesk.team_max_in_flight = team_max_in_flight;
    crewdesk.upstreams = {1};
    table->services = {{"geodata", geodata}, {"crewdesk", crewdesk}};
    return table;
  }

  LogOffset shard_offset = kShardOffset;
  std::uint32_t team_max_in_flight = 100;
  FakeUpstream upstream;
  Instance leader;
  Instance other;

 private:
  RoutedUpstream Upstream(const std::string& name,
                          const std::string& service) const {
    RoutedUpstream routed;
    routed.name = name;
    routed.service = service;
    routed.zone = "zone";
    routed.region = "region";
    routed.address = upstream.address();
    routed.term = kFence;
    routed.leader_fence = kFence;
    routed.leader = "leader.1";
    routed.leader_zone = "zone";
    routed.leader_address = leader.forward->address();
    return routed;
  }

  static ServiceSettings Settings(const std::string& name) {
    ServiceSettings settings;
    settings.name = name;
    settings.team = "maps";
    settings.path_prefix = "/" + name + "/";
    settings.slots = 4;
    settings.connections = 8;
    settings.max_body_bytes = 1000;
    settings.deadline = 3s;
    return settings;
  }
};

// Guards against requests or responses that are lost or altered on the direct
// or on the forwarded path.
TEST_CASE("the leader and a forwarding instance return the response") {
  Fixture fixture;
  for (Instance* instance : {&fixture.leader, &fixture.other}) {
    Client client(instance->callers->address());
    for (int round = 0; round < 3; ++round) {
      const std::string body = "round " + std::to_string(round);
      const HttpResponse response =
          client.Exchange(Post("/geodata/a?b=c", body, "Cell: 42\r\n"));
      REQUIRE(response.status == 200);
      REQUIRE(response.body == body);
      REQUIRE(Outcome(response) == "answered");
    }
  }
  const std::string request = fixture.upstream.requests().back();
  REQUIRE(request.starts_with("POST /geodata/a?b=c HTTP/1.1\r\n"));
  REQUIRE(FakeUpstream::Header(request, "Pollenrudder-Fence") == "9");
  REQUIRE(FakeUpstream::Header(request, "Pollenrudder-Shard") ==
          std::to_string(ShardOf("42", 4)));
  REQUIRE(FakeUpstream::Header(request, "Pollenrudder-Forwarded").empty());
}

// Guards against callers or upstreams that forge Pollenrudder-* headers.
TEST_CASE("control headers of callers and upstreams are removed") {
  Fixture fixture([](const std::string& request) {
    return FakeUpstream::Reply{
        "HTTP/1.1 200 OK\r\nPollenrudder-Outcome: not-run\r\n"
        "Pollenrudder-Request-Id: " +
        FakeUpstream::Header(request, "Pollenrudder-Request-Id") +
        "\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
        "Content-Length: 0\r\n\r\n"};
  });
  Client client(fixture.leader.callers->address());
  const HttpResponse response = client.Exchange(
      Get("/crewdesk/a", "Pollenrudder-Fence: 999\r\nX-Mine: 1\r\n"));
  REQUIRE(Outcome(response) == "answered");
  REQUIRE(FindHeader(response.header_lines, "X-End") == "2");
  REQUIRE_FALSE(FindHeader(response.header_lines, "X-Hop"));
  const std::string request = fixture.upstream.requests().at(0);
  REQUIRE(FakeUpstream::Header(request, "Pollenrudder-Fence") == "7");
  REQUIRE(FakeUpstream::Header(request, "X-Mine") == "1");
}

struct BadInput {
  const char* name;
  std::string text;
  int status;
  const char* error;
};

// Guards against invalid input that crashes or blocks the server, or reaches an
// upstream.
TEST_CASE("invalid input is rejected with its specific error") {
  const std::vector<BadInput> table = {
      {"no HTTP", "hello\r\n\r\n", 400, "malformed_request"},
      {"no host", "GET /geodata/a HTTP/1.1\r\n\r\n", 400, "malformed_request"},
      {"two hosts", "GET /geodata/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
       400, "malformed_request"},
      {"length and chunks",
       "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400, "malformed_request"},
      {"two lengths",
       "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Content-Length: 4\r\n\r\nabcd",
       400, "malformed_request"},
      {"negative length",
       "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
       400, "malformed_request"},
      {"bad chunk",
       "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\n"
       "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
       400, "malformed_request"},
      {"header with a space",
       "GET /crewdesk/a HTTP/1.1\r\nHost: a\r\nBad Name: 1\r\n\r\n", 400,
       "malformed_request"},
      {"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400,
       "malformed_request"},
      {"dot segments", Get("/crewdesk/../geodata/a"), 400, "malformed_request"},
      {"encoded dot segments", Get("/crewdesk/%2e%2E/geodata/a"), 400,
       "malformed_request"},
      {"deadline", Get("/crewdesk/a", "Pollenrudder-Deadline: soon\r\n"), 400,
       "malformed_request"},
      {"missing key", Get("/geodata/a"), 400, "missing_key"},
      {"empty key", Get("/geodata/a", "Cell:\r\n"), 400, "missing_key"},
      {"request id", Get("/crewdesk/a", "Pollenrudder-Request-Id: 1.x\r\n"),
       400, "invalid_request_id"},
      {"no service", Get("/nothing/a"), 404, "unknown_service"},
      {"star", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400,
       "malformed_request"},
      {"large header", Get("/crewdesk/a", "X: " + std::string(4000, 'x')), 431,
       "header_too_large"},
      {"large body", Post("/crewdesk/a", std::string(1001, 'x')), 413,
       "body_too_large"},
      {"large chunked body",
       "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\n"
       "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
           std::string(1001, 'x') + "\r\n0\r\n\r\n",
       413, "body_too_large"},
      {"request ids without a service", Post("/pollenrudder/request-ids", ""),
       404, "unknown_service"},
      {"request ids without a key",
       Post("/pollenrudder/request-ids?service=geodata", ""), 400,
       "missing_key"},
      {"zero request ids",
       Post("/pollenrudder/request-ids?service=crewdesk&count=0", ""), 400,
       "malformed_request"},
  };
  Fixture fixture;
  for (const BadInput& row : table) {
    INFO(row.name);
    Client client(fixture.leader.callers->address());
    const HttpResponse response = client.Exchange(row.text);
    REQUIRE(response.status == row.status);
    REQUIRE(Kind(response) == row.error);
    REQUIRE(Outcome(response) == "not-run");
  }
  REQUIRE(fixture.upstream.requests().empty());
}

// Guards against lost pipelined requests and against a body that spans several
// reads.
TEST_CASE("pipelined requests get their responses in order") {
  Fixture fixture;
  Client client(fixture.leader.callers->address());
  client.Write(Post("/crewdesk/a", "one") + Post("/crewdesk/a", "two") +
               "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n");
  REQUIRE(client.Read().body == "one");
  REQUIRE(client.Read().body == "two");
  client.Write("\r\nth");
  client.Write("ree");
  REQUIRE(client.Read().body == "three");
}

// Guards against a caller that waits forever for the interim response.
TEST_CASE("a caller that expects 100 Continue receives it") {
  Fixture fixture;
  Client client(fixture.leader.callers->address());
  client.Write(
      "POST /crewdesk/a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\n");
  // The client's parser skips the interim response.
  client.Write("body");
  REQUIRE(client.Read().body == "body");
}

// Guards against a request that runs twice when its caller repeats it at
// another instance.
TEST_CASE("a request id is valid at every instance") {
  Fixture fixture;
  Client first(fixture.other.callers->address());
  const HttpResponse issued = first.Exchange(
      Post("/pollenrudder/request-ids?service=geodata&key=42&count=2", ""));
  REQUIRE(issued.status == 200);
  const std::size_t start = issued.body.find("[\"") + 2;
  const std::string id =
      issued.body.substr(start, issued.body.find('"', start) - start);
  const std::string request =
      Post("/geodata/a", "booking",
           "Cell: 42\r\nPollenrudder-Request-Id: " + id + "\r\n");
  REQUIRE(first.Exchange(request).body == "booking");
  Client second(fixture.leader.callers->address());
  const HttpResponse repeat = second.Exchange(request);
  REQUIRE(repeat.body == "booking");
  REQUIRE(FindHeader(repeat.control_lines, "Pollenrudder-Request-Id") == id);
  REQUIRE(fixture.upstream.requests().size() == 1);
  // An id is valid only for the shard of its key.
  const HttpResponse other = second.Exchange(
      Post("/geodata/a", "booking",
           "Cell: 43\r\nPollenrudder-Request-Id: " + id + "\r\n"));
  REQUIRE(ShardOf("42", 4) != ShardOf("43", 4));
  REQUIRE(Kind(other) == "invalid_request_id");
}

// Guards against an ingress that returns an error while a shard moves.
TEST_CASE("a request that was not run is retried with the newer table") {
  Fixture fixture;
  fixture.shard_offset = 20;
  fixture.leader.sender->SetTable(fixture.Table());
  Client client(fixture.other.callers->address());
  client.Write(Get("/geodata/a", "Cell: 42\r\n"));
  // The leader rejects the old epoch until the ingress has the newer table.
  fixture.other.tables.Publish(fixture.Table());
  REQUIRE(client.Read().status == 200);
  REQUIRE(FakeUpstream::Header(fixture.upstream.requests().at(0),
                               "Pollenrudder-Fence") == "20");
}

// Guards against retries of requests that must not run twice, and against a
// repeatable request that fails without a retry.
TEST_CASE("only repeatable requests are retried after a lost connection") {
  int runs = 0;
  Fixture fixture([&runs](const std::string& request) {
    return ++runs % 2 == 1 ? FakeUpstream::Reply{"", false, true}
                           : Echo(request);
  });
  Client client(fixture.other.callers->address());
  REQUIRE(client.Exchange(Get("/crewdesk/a")).status == 200);
  REQUIRE(fixture.upstream.requests().size() == 2);
  const HttpResponse booking = client.Exchange(Post("/crewdesk/a", "x"));
  REQUIRE(booking.status == 502);
  REQUIRE(Kind(booking) == "unknown_upstream_lost");
  REQUIRE(fixture.upstream.requests().size() == 3);
}

// Guards against one team that uses up the memory of the instance.
TEST_CASE("requests in flight are limited per team") {
  Gate gate;
  Fixture fixture([&gate](const std::string& request) {
    gate.Wait();
    return Echo(request);
  });
  fixture.team_max_in_flight = 1;
  fixture.Publish();
  Client first(fixture.leader.callers->address());
  first.Write(Get("/crewdesk/a"));
  gate.WaitForWaiters(1);
  Client second(fixture.leader.callers->address());
  REQUIRE(Kind(second.Exchange(Get("/crewdesk/a"))) == "not_run_overloaded");
  gate.Open();
  REQUIRE(first.Read().status == 200);
  REQUIRE(second.Exchange(Get("/crewdesk/a")).status == 200);
}

// Guards against requests that continue after their caller has disconnected.
// Guards against requests that take memory without being counted, and against
// ones that stay counted after their response.
TEST_CASE("a request that does not fit in memory is refused as not run") {
  const auto memory = std::make_shared<MemoryAccount>(
      /*limit_bytes=*/512 << 10, /*reserve_bytes=*/0);
  Instance instance("leader.1", memory);
  Fixture fixture;
  instance.Publish(fixture.Table());
  instance.sender->ApplyLease({"crew-1", kFence, BootClock::now() + 60s});
  {
    MemoryAccount::Charge other(memory);
    // The request counts twice, which does not fit beside its connection.
    REQUIRE(other.TryResize(496 << 10, BootClock::now()));
    const HttpResponse refused =
        Client(instance.callers->address())
            .Exchange(Post("/crewdesk/a", std::string(1000, 'x'),
                           "X-Filler: " + std::string(1040, 'x') + "\r\n"));
    CHECK(Kind(refused) == "not_run_overloaded");
    CHECK(Outcome(refused) == "not-run");
  }
  CHECK(Outcome(Client(instance.callers->address())
                    .Exchange(Post("/crewdesk/a", std::string(1000, 'x')))) ==
        "answered");
  while (memory->used_bytes() > 0)
    std::this_thread::sleep_for(1ms);
}

TEST_CASE("a caller that disconnects releases its team slot") {
  Gate gate;
  Fixture fixture([&gate](const std::string& request) {
    gate.Wait();
    return Echo(request);
  });
  fixture.team_max_in_flight = 1;
  fixture.Publish();
  {
    Client first(fixture.other.callers->address());
    first.Write(Get("/crewdesk/a"));
    gate.WaitForWaiters(1);
  }
  gate.Open();
  Client second(fixture.other.callers->address());
  HttpResponse response = second.Exchange(Get("/crewdesk/a"));
  while (Kind(response) == "not_run_overloaded")
    response = second.Exchange(Get("/crewdesk/a"));
  REQUIRE(response.status == 200);
}

// Guards against a shutdown that interrupts requests.
TEST_CASE("a shutdown closes connections after their next response") {
  Fixture fixture;
  Client client(fixture.leader.callers->address());
  REQUIRE(client.Exchange(Get("/crewdesk/a")).keep_alive);
  fixture.leader.callers->StartShutdown();
  HttpResponse response = client.Exchange(Get("/crewdesk/a"));
  while (response.keep_alive)
    response = client.Exchange(Get("/crewdesk/a"));
  REQUIRE(response.status == 200);
  REQUIRE(client.ReadsEndOfStream());
}

// Guards against a planned stop that waits for an idle connection, and then
// cuts the request that arrives on it late.
TEST_CASE("a connection that becomes idle late in a shutdown is closed") {
  // More than the buffers of the connection hold.
  constexpr std::size_t kBodyBytes = 12u << 20;
  Fixture fixture([](const std::string& request) {
    return FakeUpstream::Reply{
        FakeUpstream::MakeResponse(request, std::string(kBodyBytes, 'x'))};
  });
  Client client(fixture.leader.callers->address());
  client.Write(Get("/crewdesk/a"));
  client.WaitForBytes();
  fixture.leader.callers->StartShutdown();
  fixture.leader.callers->CloseIdle();
  // Both have reached the threads of the server.
  std::this_thread::sleep_for(100ms);
  const HttpResponse response = client.Read();
  REQUIRE(response.body.size() == kBodyBytes);
  REQUIRE(response.keep_alive);
  const BootTime end = BootClock::now() + 5s;
  while (fixture.leader.callers->open_connections() > 0 &&
         BootClock::now() < end)
    std::this_thread::sleep_for(5ms);
  REQUIRE(fixture.leader.callers->open_connections() == 0);
}

// Guards against an unknown outcome of a request that was never sent, since its
// leader is stopped.
TEST_CASE("an unreachable leader gives not-run until the deadline") {
  Fixture fixture;
  fixture.leader.forward->Stop();
  Client client(fixture.other.callers->address());
  const HttpResponse response =
      client.Exchange(Get("/crewdesk/a", "Pollenrudder-Deadline: 200\r\n"));
  REQUIRE(response.status >= 502);
  REQUIRE(fixture.upstream.requests().empty());
}

}  // namespace
}  // namespace pollenrudder
