// One instance of the lease model, and its network.

#ifndef POLLENRUDDER_OWNERSHIP_LEASE_MODEL_INSTANCE_TEST_H_
#define POLLENRUDDER_OWNERSHIP_LEASE_MODEL_INSTANCE_TEST_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "ownership/lease_model_test.h"

namespace pollenrudder {

// An instance with the state that a Controller would hold.
struct LeaseModel::Instance {
  int index = 0;
  int zone_index = 0;
  int incarnation = 0;
  std::string name;
  std::string zone;
  double rate = 1.0;
  std::chrono::nanoseconds offset{0};
  bool down = false;
  int paused_until = 0;
  std::deque<std::function<void(Instance&)>> inbox;

  ModelTable table;
  LogOffset next = 1;
  std::unique_ptr<VoterPromises> promises;
  std::unique_ptr<ClaimTracker> claims;
  std::map<std::string, LeaderLease> leases;
  // By upstream: the id of the unresolved revise or handover, and the steps at
  // which it and the `active` record were last sent.
  std::map<std::string, std::string> pending;
  std::map<std::string, int> pending_sent;
  std::map<std::string, int> active_sent;
  // Since when an upstream has no term or a lost leader.
  std::map<std::string, BootTime> claimable_since;
  int last_heartbeat = 0;
  int last_read = 0;
  bool read_pending = false;
  int read_timeout = 0;
};

// The links that are cut, each with the step at which it opens again.
struct LeaseModel::Network {
  int instances = 0;
  std::map<std::pair<int, int>, int> links;
  std::map<int, int> log_links;
  int slow_until = 0;

  void Cut(int from, int to, int until) {
    int& end = links[{from, to}];
    end = std::max(end, until);
  }
  void CutLog(int instance, int until) {
    int& end = log_links[instance];
    end = std::max(end, until);
  }
  bool Open(int from, int to, int now) const {
    const auto link = links.find({from, to});
    return link == links.end() || link->second <= now;
  }
  bool LogOpen(int instance, int now) const {
    const auto link = log_links.find(instance);
    return link == log_links.end() || link->second <= now;
  }
};

// The isolation_hold of an upstream of the model.
std::chrono::nanoseconds HoldOf(const std::string& upstream);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MODEL_INSTANCE_TEST_H_
