// Blocking socket calls and HTTP/1.1 messages for the review's stand-ins.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_SOCKET_IO_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_SOCKET_IO_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

// A message whose body, if any, has a Content-Length.
struct Message {
  std::string start_line;
  // By lower-case name; the last field of a name counts.
  std::map<std::string, std::string, std::less<>> fields;
  std::string body;

  std::string Field(std::string_view name) const;
  // The second word of the start line: the target or the status.
  std::string SecondWord() const;
};

// An owned descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;

  // Returns an invalid socket if the connection is refused. `receive_buffer`
  // of 0 leaves the buffer as it is.
  static Socket ConnectTo(int port, int receive_buffer = 0);
  // Listens on a free loopback port, or on `port`.
  static Socket ListenOn(int port = 0);

  bool valid() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  int LocalPort() const;
  Socket Accept() const;
  bool SendAll(std::string_view bytes) const;
  // Sends what fits now; returns the number of bytes, or -1 after an error.
  long SendSome(std::string_view bytes) const;
  // Returns at most `size` bytes; empty at the end of the stream, nothing after
  // an error or the timeout.
  std::optional<std::string> Receive(std::size_t size,
                                     std::chrono::milliseconds timeout) const;
  // Whether the last Receive() returned nothing because of the timeout.
  bool timed_out() const { return timed_out_; }
  void FinishSending() const;
  void SetNonBlocking() const;
  void Close();

 private:
  int descriptor_ = -1;
  mutable bool timed_out_ = false;
};

// Reads one message after the bytes in `buffer`, which keeps what follows it.
// Returns nothing if the connection ends or `timeout` passes without progress.
std::optional<Message> ReadMessage(const Socket& socket,
                                   std::string& buffer,
                                   std::chrono::milliseconds timeout);

// Returns `count` consecutive loopback ports that are free.
int FreePorts(int count);

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_SOCKET_IO_H_
