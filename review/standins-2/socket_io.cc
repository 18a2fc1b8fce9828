// Sockets over the system calls.

#include "socket_io.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <random>
#include <utility>
#include <vector>

namespace review {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return text;
}

}  // namespace

std::string Message::Field(std::string_view name) const {
  const auto at = fields.find(name);
  return at == fields.end() ? std::string() : at->second;
}

std::string Message::SecondWord() const {
  const std::size_t first = start_line.find(' ');
  if (first == std::string::npos)
    return {};
  const std::size_t second = start_line.find(' ', first + 1);
  return start_line.substr(first + 1, second - first - 1);
}

Socket::~Socket() {
  Close();
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

Socket Socket::ConnectTo(int port, int receive_buffer) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (receive_buffer > 0) {
    setsockopt(socket.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const sockaddr_in address = Loopback(port);
  if (connect(socket.descriptor_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0)
    return Socket();
  const int on = 1;
  setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

Socket Socket::ListenOn(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(socket.descriptor_, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket.descriptor_, SOMAXCONN) != 0)
    return Socket();
  return socket;
}

int Socket::LocalPort() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Socket Socket::Accept() const {
  return Socket(accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
}

bool Socket::SendAll(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

long Socket::SendSome(std::string_view bytes) const {
  const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return 0;
  return static_cast<long>(sent);
}

std::optional<std::string> Socket::Receive(
    std::size_t size,
    std::chrono::milliseconds timeout) const {
  pollfd event{descriptor_, POLLIN, 0};
  timed_out_ = poll(&event, 1, static_cast<int>(timeout.count())) == 0;
  if (timed_out_)
    return std::nullopt;
  std::string bytes(size, '\0');
  const ssize_t received = recv(descriptor_, bytes.data(), size, 0);
  if (received < 0)
    return std::nullopt;
  bytes.resize(static_cast<std::size_t>(received));
  return bytes;
}

void Socket::FinishSending() const {
  shutdown(descriptor_, SHUT_WR);
}

void Socket::SetNonBlocking() const {
  fcntl(descriptor_, F_SETFL, O_NONBLOCK);
}

void Socket::Close() {
  if (descriptor_ >= 0)
    close(std::exchange(descriptor_, -1));
}

std::optional<Message> ReadMessage(const Socket& socket,
                                   std::string& buffer,
                                   std::chrono::milliseconds timeout) {
  constexpr std::size_t kReadBytes = 1 << 16;
  const auto read_more = [&] {
    const auto bytes = socket.Receive(kReadBytes, timeout);
    if (!bytes || bytes->empty())
      return false;
    buffer += *bytes;
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more())
      return std::nullopt;
  }
  Message message;
  std::string_view head = std::string_view(buffer).substr(0, end + 2);
  bool is_first = true;
  while (!head.empty()) {
    const std::size_t line_end = head.find("\r\n");
    const std::string_view line = head.substr(0, line_end);
    head.remove_prefix(line_end + 2);
    if (std::exchange(is_first, false)) {
      message.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.remove_prefix(1);
    message.fields[Lower(std::string(line.substr(0, colon)))] = value;
  }
  buffer.erase(0, end + 4);
  const std::size_t length =
      std::strtoull(message.Field("content-length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!read_more())
      return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

int FreePorts(int count) {
  std::random_device device;
  while (true) {
    const int first = 10'000 + static_cast<int>(device() % 22'000);
    std::vector<Socket> sockets;
    for (int port = first; port < first + count; ++port) {
      sockets.push_back(Socket::ListenOn(port));
      if (!sockets.back().valid())
        break;
    }
    if (sockets.back().valid())
      return first;
  }
}

}  // namespace review
