// Deployment: the operator's configuration and the upstreams' entries.

#include "deployment.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::milliseconds kCheckInterval{50};
constexpr std::chrono::milliseconds kHeartbeat{1500};

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

}  // namespace

Deployment::Deployment(Record& record)
    : record_(record), folder_(MakeFolder()), store_(*new Store()) {}

Deployment::~Deployment() {
  daemons_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
  // Their threads use them until the program ends.
  for (auto& upstream : upstreams_)
    (void)upstream.release();
}

void Deployment::AddUpstream(std::unique_ptr<Upstream> upstream) {
  upstreams_.push_back(std::move(upstream));
}

std::string Deployment::Configuration(const std::vector<Route>& routes) const {
  std::string text = R"({"version":"r7","base-version":"r5","resources":[)";
  for (const Route& route : routes) {
    char timeout[32];
    std::snprintf(timeout, sizeof(timeout), "%.3f", route.timeout_s);
    text += R"({"resource-kind":"routes","metadata":{"name":"r-)" + route.name +
            R"("},"spec":{"hostname":"a.example","path-prefix":"/)" +
            route.name + R"(/","kind":")" + route.kind + R"(","timeout-s":)" +
            timeout + R"(,"aim-s":1,"priority":1,"service":")" + route.name +
            R"(","max-attempts":2}},)" +
            R"({"resource-kind":"services","metadata":{"name":")" + route.name +
            R"("},"spec":{"health-path":"/health","max-connections":110,)" +
            R"("protocol":"h1","tls":false}},)";
  }
  return text + R"({"resource-kind":"limits","metadata":{},"spec":)"
                R"({"max-header-bytes":16384,"max-body-bytes":67108864,)"
                R"("header-timeout-s":3,"idle-timeout-s":15}}]})";
}

bool Deployment::Start(const std::vector<Route>& routes,
                       int daemon_count,
                       int memory_mb) {
  routes_ = routes;
  store_.Put("keyed.op", "config", Configuration(routes));
  std::vector<Upstream*> upstreams;
  for (const auto& upstream : upstreams_) {
    upstream->Start();
    store_.Put("keyed.servers", upstream->options().name, upstream->Entry(1));
    upstreams.push_back(upstream.get());
  }
  std::thread([store = &store_, upstreams] {
    for (int sequence = 2;; ++sequence) {
      std::this_thread::sleep_for(kHeartbeat);
      for (const Upstream* upstream : upstreams) {
        store->Put("keyed.servers", upstream->options().name,
                   upstream->Entry(sequence));
      }
    }
  }).detach();
  for (int number = 1; number <= daemon_count; ++number) {
    Daemon::Options options;
    options.name = "front-cayambe-" + std::to_string(number);
    options.store_port = store_.port();
    options.memory_mb = memory_mb;
    daemons_.push_back(std::make_unique<Daemon>(options, folder_));
    daemons_.back()->Start();
  }
  for (const auto& daemon : daemons_) {
    if (!WaitUntilServing(*daemon))
      return false;
  }
  return true;
}

bool Deployment::WaitUntilServing(Daemon& daemon) {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  std::set<std::string> served;
  while (std::chrono::steady_clock::now() < end) {
    if (daemon.IsReady()) {
      for (const Route& route : routes_) {
        const Socket socket = Socket::ConnectTo(daemon.caller_port());
        const std::string id = "check-" + std::to_string(++checks_);
        if (!socket.valid() ||
            !socket.SendAll(
                FormatRequest(route.name, id, std::chrono::milliseconds(2000),
                              route.kind == "unsafe" ? "check" : "")))
          continue;
        std::string buffer;
        const auto response =
            ReadMessage(socket, buffer, std::chrono::milliseconds(2000));
        if (response && response->SecondWord() == "200")
          served.insert(route.name);
      }
      if (served.size() == routes_.size()) {
        record_.Write("serves  " + daemon.options().name);
        return true;
      }
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  record_.Write("no start of " + daemon.options().name);
  return false;
}

std::vector<Upstream::Run> Deployment::runs() const {
  std::vector<Upstream::Run> all;
  for (const auto& upstream : upstreams_) {
    const auto runs = upstream->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

std::string FormatRequest(const std::string& route,
                          const std::string& id,
                          std::chrono::milliseconds deadline,
                          const std::string& body) {
  std::string text = (body.empty() ? "GET /" : "POST /") + route +
                     "/x HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Pollenrudder-Request-Id: " +
                     id + "\r\nX-Pollenrudder-Request-Deadline: " +
                     std::to_string(deadline.count()) + "\r\n";
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

int RunCase(int argument_count,
            char** arguments,
            const std::function<int(Record&, bool trouble)>& play) {
  if (argument_count != 2) {
    std::cerr << "usage: " << arguments[0] << " RECORD\n";
    return kCouldNotRun;
  }
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = variable == nullptr || std::string(variable) != "0";
  Record record(arguments[1]);
  record.Write(trouble ? "with the disruption" : "without the disruption");
  const int result = play(record, trouble);
  record.Write(result == kHeld     ? "the rule held"
               : result == kBroken ? "the rule is broken"
                                   : "the case could not run");
  std::cout << (result == kHeld     ? "held"
                : result == kBroken ? "broken"
                                    : "could not run")
            << std::endl;
  // Threads of the stand-ins still run.
  std::_Exit(result);
}

}  // namespace review
