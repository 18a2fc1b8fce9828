// InstanceChannel over a UDP socket.

#include "entry/instance_channel.h"

#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/boot_clock.h"
#include "base/socket_address.h"
#include "http/deflate.h"
#include "http/http_message.h"

namespace pollenrudder {
namespace {

// The first byte of a datagram is the message type, the second the encoding.
constexpr std::size_t kPrefixBytes = 2;
constexpr char kLoadReportTag = 'L';
constexpr char kTableUpdateTag = 'U';
constexpr char kRelayedUpdateTag = 'N';
constexpr char kForwardedTableUpdateTag = 'u';
constexpr char kForwardedRelayedUpdateTag = 'n';
constexpr char kUpdateRequestTag = 'R';
constexpr char kCrashTag = 'C';
constexpr char kForwardedCrashTag = 'c';
constexpr char kQuarantineTag = 'Q';
constexpr char kForwardedQuarantineTag = 'q';
constexpr char kUncompressed = 'p';
constexpr char kCompressed = 'z';
// Compression saves little below this size.
constexpr std::size_t kMinCompressedBytes = 400;
// Other work of the event loop gets its turn after this many datagrams.
constexpr int kMaxDatagramsPerWake = 64;
// The maximum size of a decompressed datagram.
constexpr std::size_t kMaxTextBytes = 1 << 20;

}  // namespace

Result<std::unique_ptr<InstanceChannel>> InstanceChannel::Open(
    boost::asio::io_context& io,
    const std::string& address,
    Listener& listener) {
  const auto endpoint = EndpointOf(address);
  std::unique_ptr<InstanceChannel> channel(new InstanceChannel(io, listener));
  boost::system::error_code error;
  channel->socket_.open(boost::asio::ip::udp::v4(), error);
  if (!error)
    channel->socket_.bind({endpoint.address(), endpoint.port()}, error);
  if (!error)
    channel->socket_.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "cannot bind UDP " + address + ": " + error.message());
  }
  channel->Receive();
  return channel;
}

InstanceChannel::InstanceChannel(boost::asio::io_context& io,
                                 Listener& listener)
    : socket_(io), listener_(listener) {}

void InstanceChannel::Send(const Addresses& addresses,
                           const LoadReport& report) {
  SendText(addresses, kLoadReportTag, EncodeLoadReport(report));
}

void InstanceChannel::Send(const Addresses& addresses,
                           const TableUpdate& update,
                           Hop hop) {
  SendText(addresses,
           hop == Hop::kDirect ? kTableUpdateTag : kForwardedTableUpdateTag,
           EncodeTableUpdate(update));
}

void InstanceChannel::Send(const Addresses& addresses,
                           const RelayedUpdate& update,
                           Hop hop) {
  SendText(addresses,
           hop == Hop::kDirect ? kRelayedUpdateTag : kForwardedRelayedUpdateTag,
           EncodeRelayedUpdate(update));
}

void InstanceChannel::Send(const Addresses& addresses,
                           const CrashMessage& message,
                           Hop hop) {
  SendText(addresses, hop == Hop::kDirect ? kCrashTag : kForwardedCrashTag,
           EncodeCrashMessage(message, BootClock::now()));
}

void InstanceChannel::Send(const Addresses& addresses,
                           const QuarantineMessage& message,
                           Hop hop) {
  SendText(addresses,
           hop == Hop::kDirect ? kQuarantineTag : kForwardedQuarantineTag,
           EncodeQuarantineMessage(message));
}

void InstanceChannel::RequestUpdates(const std::string& address,
                                     std::uint64_t next_offset) {
  SendText({address}, kUpdateRequestTag, std::to_string(next_offset));
}

void InstanceChannel::SendText(const Addresses& addresses,
                               char tag,
                               const std::string& text) {
  if (addresses.empty())
    return;
  const bool compressed = text.size() >= kMinCompressedBytes;
  const std::string datagram =
      std::string{tag, compressed ? kCompressed : kUncompressed} +
      (compressed ? Deflate(text) : text);
  if (datagram.size() > kMaxDatagramBytes)
    return;
  for (const std::string& address : addresses) {
    const auto endpoint = EndpointOf(address);
    if (endpoint.port() == 0)
      continue;
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(datagram),
                    {endpoint.address(), endpoint.port()}, 0, ignored);
  }
}

void InstanceChannel::Receive() {
  socket_.async_wait(
      boost::asio::ip::udp::socket::wait_read,
      [this](boost::system::error_code error) {
        if (error)
          return;
        for (int count = 0; count < kMaxDatagramsPerWake; ++count) {
          buffer_.resize(kMaxDatagramBytes);
          boost::system::error_code read_error;
          // Also takes an empty datagram from the socket.
          const std::size_t bytes = socket_.receive_from(
              boost::asio::buffer(buffer_), sender_, 0, read_error);
          if (read_error)
            break;
          Dispatch(std::string_view(buffer_.data(), bytes));
        }
        Receive();
      });
}

std::string InstanceChannel::SenderAddress() const {
  return sender_.address().to_string() + ':' + std::to_string(sender_.port());
}

void InstanceChannel::Dispatch(std::string_view datagram) {
  if (datagram.size() < kPrefixBytes)
    return;
  const char tag = datagram[0];
  const bool compressed = datagram[1] == kCompressed;
  std::string_view text = datagram.substr(kPrefixBytes);
  std::optional<std::string> inflated;
  if (compressed) {
    inflated = Inflate(text, kMaxTextBytes);
    if (!inflated)
      return;
    text = *inflated;
  }
  if (tag == kLoadReportTag) {
    if (const auto report = ParseLoadReport(text))
      listener_.OnLoadReport(*report, SenderAddress());
  } else if (tag == kUpdateRequestTag) {
    if (const auto next_offset = ParseNumber(text))
      listener_.OnUpdatesRequested(*next_offset, SenderAddress());
  } else if (tag == kTableUpdateTag || tag == kForwardedTableUpdateTag) {
    if (const auto update = ParseTableUpdate(text)) {
      listener_.OnTableUpdate(
          *update, tag == kTableUpdateTag ? Hop::kDirect : Hop::kForwarded);
    }
  } else if (tag == kRelayedUpdateTag || tag == kForwardedRelayedUpdateTag) {
    if (const auto update = ParseRelayedUpdate(text)) {
      listener_.OnRelayedUpdate(
          *update, tag == kRelayedUpdateTag ? Hop::kDirect : Hop::kForwarded,
          SenderAddress());
    }
  } else if (tag == kCrashTag || tag == kForwardedCrashTag) {
    if (const auto message = ParseCrashMessage(text, BootClock::now())) {
      listener_.OnCrashMessage(
          *message, tag == kCrashTag ? Hop::kDirect : Hop::kForwarded);
    }
  } else if (tag == kQuarantineTag || tag == kForwardedQuarantineTag) {
    if (const auto message = ParseQuarantineMessage(text)) {
      listener_.OnQuarantineMessage(
          *message, tag == kQuarantineTag ? Hop::kDirect : Hop::kForwarded);
    }
  }
}

}  // namespace pollenrudder
