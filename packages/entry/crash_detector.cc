// CrashDetector: connection attempts to each upstream in doubt.

#include "entry/crash_detector.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/socket_address.h"

namespace pollenrudder {
namespace {

// Longer than the round trip to any upstream.
constexpr std::chrono::milliseconds kProbeTimeout{500};
// Pause before a probe without a result is repeated.
constexpr std::chrono::milliseconds kRetryDelay{250};
// How long a result is awaited. The list drops an upstream that has crashed
// within about three seconds.
constexpr std::chrono::seconds kMaxDoubt{5};
// How long a detected crash also explains connections whose loss is noticed
// later.
constexpr std::chrono::seconds kCrashMemory{5};

}  // namespace

struct CrashDetector::Probe {
  Probe(boost::asio::io_context& io, const ListedUpstream& entry)
      : upstream(entry), socket(io), timer(io) {}

  const ListedUpstream upstream;
  const BootTime started_at = BootClock::now();
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::vector<LostRequest> requests;
};

CrashDetector::CrashDetector(boost::asio::io_context& io, Handler handler)
    : io_(io), handler_(std::move(handler)) {}

CrashDetector::~CrashDetector() = default;

void CrashDetector::OnConnectionLost(const ListedUpstream& upstream,
                                     LostRequest request) {
  std::erase_if(crashed_, [&](const auto& crash) {
    return request.lost_at >= crash.second + kCrashMemory;
  });
  const Key key(upstream.name, upstream.started_at);
  if (crashed_.contains(key)) {
    handler_(upstream, request);
    return;
  }
  std::unique_ptr<Probe>& probe = probes_[key];
  const bool is_new = !probe;
  if (is_new)
    probe = std::make_unique<Probe>(io_, upstream);
  probe->requests.push_back(std::move(request));
  if (is_new)
    Start(*probe, key);
}

void CrashDetector::OnFleet(const Fleet& fleet) {
  // Whether each of these has crashed; the others left as planned.
  std::vector<std::pair<Key, bool>> decided;
  for (const auto& [key, probe] : probes_) {
    const ListedUpstream* entry = fleet.Find(key.first);
    // An entry also expires while its upstream is cut off from the store.
    if (entry == nullptr)
      continue;
    const bool has_restarted = entry->started_at != key.second;
    if (has_restarted || entry->leaving)
      decided.emplace_back(key, has_restarted);
  }
  for (const auto& [key, crashed] : decided)
    Decide(key, crashed);
}

void CrashDetector::Start(Probe& probe, const Key& key) {
  probe.socket = boost::asio::ip::tcp::socket(io_);
  probe.socket.async_connect(
      EndpointOf(probe.upstream.address),
      [this, key](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted)
          return;
        OnProbeEnded(key, !error ? Outcome::kListening
                          : error == boost::asio::error::connection_refused
                              ? Outcome::kRefused
                              : Outcome::kUnknown);
      });
  probe.timer.expires_after(kProbeTimeout);
  probe.timer.async_wait([this, key](boost::system::error_code error) {
    if (!error)
      OnProbeEnded(key, Outcome::kUnknown);
  });
}

void CrashDetector::OnProbeEnded(const Key& key, Outcome outcome) {
  const auto at = probes_.find(key);
  if (at == probes_.end())
    return;
  if (outcome != Outcome::kUnknown) {
    Decide(key, outcome == Outcome::kRefused);
    return;
  }
  Probe& probe = *at->second;
  if (BootClock::now() >= probe.started_at + kMaxDoubt) {
    Decide(key, /*crashed=*/false);
    return;
  }
  boost::system::error_code ignored;
  probe.socket.close(ignored);
  probe.timer.expires_after(kRetryDelay);
  probe.timer.async_wait([this, key](boost::system::error_code error) {
    const auto again = probes_.find(key);
    if (!error && again != probes_.end())
      Start(*again->second, key);
  });
}

void CrashDetector::Decide(const Key& key, bool crashed) {
  const auto ended = probes_.find(key);
  if (ended == probes_.end())
    return;
  // Its handlers that are still queued find no probe.
  const std::unique_ptr<Probe> probe = std::move(ended->second);
  probes_.erase(ended);
  if (!crashed)
    return;
  crashed_[key] = BootClock::now();
  for (const LostRequest& request : probe->requests)
    handler_(probe->upstream, request);
}

}  // namespace pollenrudder
