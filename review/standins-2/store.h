// A stand-in for the platform's store.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_STORE_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "socket_io.h"

namespace review {

// Keeps keyed topics in memory and serves the store's calls: log-append,
// log-read, log-newest, log-join and log-leave. It loses nothing, and responds
// at once.
class Store {
 public:
  // Starts to serve on a free port.
  Store();

  int port() const { return port_; }
  // Writes as the operator or an upstream does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Member {
    std::vector<std::string> topics;
    std::chrono::steady_clock::time_point expires_at;
  };

  void Serve(Socket socket);
  std::string Handle(const Message& request);
  std::string Append(const std::map<std::string, std::string>& query,
                     const std::string& body);
  std::string Read(const std::map<std::string, std::string>& query);
  std::string Newest(const std::map<std::string, std::string>& query);
  std::string Join(const std::string& body);
  std::string Leave(const std::string& body);
  // Requires the lock.
  void RemoveExpiredMembers();

  Socket listener_;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, std::vector<Record>> topics_;
  std::map<std::string, Member> members_;
  std::uint64_t generation_ = 1;
};

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_STORE_H_
