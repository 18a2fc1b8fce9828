// A small deployment: a store, upstreams and daemons.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_DEPLOYMENT_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon.h"
#include "record.h"
#include "store.h"
#include "upstream.h"

namespace review {

// Owns everything that a case starts. The host of all routes is "a.example".
class Deployment {
 public:
  // A route "/<name>/" to the service of the same name.
  struct Route {
    std::string name;
    std::string kind;
    double timeout_s = 10;
  };

  // Files of the daemons are written to a temporary folder.
  explicit Deployment(Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void AddUpstream(std::unique_ptr<Upstream> upstream);
  // Starts everything. Returns false if a daemon does not serve each route
  // within 20 s.
  bool Start(const std::vector<Route>& routes,
             int daemon_count,
             int memory_mb = 260);
  // Waits until `daemon` is ready and serves all routes.
  bool WaitUntilServing(Daemon& daemon);

  const std::vector<std::unique_ptr<Daemon>>& daemons() const {
    return daemons_;
  }
  const std::vector<std::unique_ptr<Upstream>>& upstreams() const {
    return upstreams_;
  }
  // The requests that all upstreams have begun.
  std::vector<Upstream::Run> runs() const;

 private:
  std::string Configuration(const std::vector<Route>& routes) const;

  Record& record_;
  const std::string folder_;
  // Serves until the program ends, as the upstreams.
  Store& store_;
  std::vector<Route> routes_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  int checks_ = 0;
};

// Formats a request of a caller to "/<route>/x". Without a body, the method is
// GET.
std::string FormatRequest(const std::string& route,
                          const std::string& id,
                          std::chrono::milliseconds deadline,
                          const std::string& body = {});

// Runs a case. `play` returns whether the rule held, or nothing if the case
// could not run. The arguments are the path of the record, and the variable
// TROUBLE tells whether the disruption is left out. Returns the exit status.
int RunCase(int argument_count,
            char** arguments,
            const std::function<int(Record&, bool trouble)>& play);

// The results of a case, which are its exit statuses.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_DEPLOYMENT_H_
