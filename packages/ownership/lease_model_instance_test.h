// The state of an instance and of the network in LeaseModel.

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

// An instance with the state that Controller would have.
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
  // By upstream: the id of the unresolved revision or handover, and the steps
  // at which it (or its abandon) and the `active` record were last sent.
  std::map<std::string, std::string> pending;
  std::map<std::string, int> pending_sent;
  std::map<std::string, int> active_sent;
  // By upstream: since when it has no term or a lost leader.
  std::map<std::string, BootTime> claimable_since;
  int last_heartbeat = 0;
  int last_read = 0;
  bool read_pending = false;
  int read_timeout = 0;
};

// The connections that are cut, each with the step at which it is restored. The
// keys are indexes of instances.
struct LeaseModel::Network {
  int instances = 0;
  std::map<std::pair<int, int>, int> connections;
  std::map<int, int> log_connections;
  int slow_until = 0;

  void Cut(int from, int to, int until) {
    int& end = connections[{from, to}];
    end = std::max(end, until);
  }
  void CutLog(int instance, int until) {
    int& end = log_connections[instance];
    end = std::max(end, until);
  }
  bool IsConnected(int from, int to, int now) const {
    const auto connection = connections.find({from, to});
    return connection == connections.end() || connection->second <= now;
  }
  bool IsLogConnected(int instance, int now) const {
    const auto connection = log_connections.find(instance);
    return connection == log_connections.end() || connection->second <= now;
  }
};

// Returns the isolation hold of an upstream of the model.
std::chrono::nanoseconds IsolationHoldOf(const std::string& upstream);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_LEASE_MODEL_INSTANCE_TEST_H_
