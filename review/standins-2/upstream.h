// A stand-in for the servers behind the router.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_UPSTREAM_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_UPSTREAM_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "record.h"
#include "socket_io.h"

namespace review {

// A sound upstream: it rejects requests that expect another one or that exceed
// its slots and its queue, answers the health path, and otherwise runs the
// request and answers with its id, its stamp and a body that names the request.
// Each Start() serves until the program ends.
class Upstream {
 public:
  struct Options {
    std::string name;
    std::string service;
    std::chrono::milliseconds work{20};
    // The body is filled up to this size.
    std::size_t body_bytes = 0;
    int slots = 6;
    int queue = 24;
  };
  // A request that was begun.
  struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
  };

  Upstream(Options options, Record& record);
  virtual ~Upstream() = default;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void Start();
  const Options& options() const { return options_; }
  std::string address() const;
  // The entry that the upstream writes to the store.
  std::string Entry(int sequence) const;
  std::vector<Run> runs() const;
  // The body of the answer to the request with this id.
  std::string BodyFor(const std::string& id) const;

 protected:
  // What an upstream keeps of one connection.
  struct Connection {
    Socket socket;
    // The id of the request answered before, if any.
    std::string previous_id;
  };

  // Called before a request is run. Returns false if the connection ends
  // instead.
  virtual bool BeforeRun(Connection& connection);
  // Formats an answer of status 200; without `has_length`, it ends with the
  // connection.
  std::string FormatAnswer(const std::string& id, bool has_length) const;
  Record& record() const { return record_; }

 private:
  void Serve(Socket socket);
  // Returns false if the connection ends.
  bool Respond(Connection& connection, const Message& request);

  const Options options_;
  Record& record_;
  Socket listener_;
  mutable std::mutex mutex_;
  std::condition_variable slot_freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::vector<Run> runs_;
};

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_UPSTREAM_H_
