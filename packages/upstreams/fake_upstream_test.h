// Upstream for tests, with scripted responses and failures.

#ifndef POLLENRUDDER_UPSTREAMS_FAKE_UPSTREAM_TEST_H_
#define POLLENRUDDER_UPSTREAMS_FAKE_UPSTREAM_TEST_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pollenrudder {

// HTTP server that passes each request to a script, which returns the response
// bytes. Accepts connections on a free loopback port, with one blocking thread
// per connection. Grants and health checks are answered with 200 without
// calling the script.
class FakeUpstream {
 public:
  // The clock reading in the response to a grant.
  static constexpr std::chrono::milliseconds kClockReading{5000};

  struct Reply {
    std::string bytes;
    // Close in order, or reset, after the bytes are written.
    bool close = false;
    bool reset = false;
  };
  // Called on a connection's thread with the whole request; may block.
  using Script = std::function<Reply(const std::string& request)>;

  explicit FakeUpstream(Script script);
  ~FakeUpstream();
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;

  const std::string& address() const { return address_; }
  // Sends no response from now on, like a stopped process.
  void Freeze();
  // Stops listening and resets all connections, like a crashed process.
  void Crash();

  // The requests that were passed to the script, in order.
  std::vector<std::string> requests();
  std::vector<std::string> grants();
  // The numbers of the connections of these requests and grants.
  std::vector<int> request_connections();
  std::vector<int> grant_connections();
  // Maximum number of concurrent requests in the script, and of open
  // connections.
  int max_in_flight();
  int max_connections();

  // Returns a complete 200 response that echoes the request id.
  static std::string MakeResponse(const std::string& request,
                                  const std::string& body);
  // Returns the value of a request header, or "".
  static std::string Header(const std::string& request,
                            const std::string& name);

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptLoop();
  void Serve(Socket& socket, int connection);
  Reply Handle(const std::string& request, int connection);

  const Script script_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string address_;
  std::mutex mutex_;
  std::list<Socket> sockets_;
  std::vector<std::thread> threads_;
  std::vector<std::string> requests_;
  std::vector<int> request_connections_;
  std::vector<std::string> grants_;
  std::vector<int> grant_connections_;
  int in_flight_ = 0;
  int max_in_flight_ = 0;
  int connections_ = 0;
  int max_connections_ = 0;
  bool stopped_ = false;
  bool frozen_ = false;
  std::condition_variable stopping_;
  std::thread accept_thread_;
};

// Blocks the threads of a FakeUpstream until a test opens it.
class Gate {
 public:
  void Open();
  void Wait();
  // Waits until at least `count` threads have called Wait(). Fails the test
  // after a timeout.
  void WaitForWaiters(int count);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
  int waiting_ = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_UPSTREAMS_FAKE_UPSTREAM_TEST_H_
