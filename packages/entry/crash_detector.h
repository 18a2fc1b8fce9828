// Finds out whether an upstream that lost connections has crashed.

#ifndef POLLENRUDDER_ENTRY_CRASH_DETECTOR_H_
#define POLLENRUDDER_ENTRY_CRASH_DETECTOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/boot_clock.h"
#include "fleet/fleet.h"
#include "fleet/listed_upstream.h"

namespace pollenrudder {

// A connection may also be lost because the upstream limits their number, drops
// a response or closes the connection too early. Opens another connection to
// the upstream: only if that is refused, no process listens there any more. A
// connection that fails otherwise, because of a partition or of this machine,
// proves nothing; it is tried again for a while, and the upstream counts as
// crashed if the instance list names another incarnation meanwhile. One probe
// serves all requests that were lost together.
class CrashDetector {
 public:
  // A request whose connection was lost before its response was complete.
  struct LostRequest {
    std::string request_id;
    std::uint64_t fingerprint = 0;
    BootTime sent_at{};
    BootTime lost_at{};
  };
  // Called for each request that was in flight at an upstream that crashed.
  using Handler =
      std::function<void(const ListedUpstream&, const LostRequest&)>;

  // `io` must outlive the detector.
  CrashDetector(boost::asio::io_context& io, Handler handler);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  void OnConnectionLost(const ListedUpstream& upstream, LostRequest request);
  // The instance list has changed.
  void OnFleet(const Fleet& fleet);

 private:
  struct Probe;
  enum class Outcome { kListening, kRefused, kUnknown };
  // By name and start time of the incarnation.
  using Key = std::pair<std::string, std::chrono::milliseconds>;

  void Start(Probe& probe, const Key& key);
  void OnProbeEnded(const Key& key, Outcome outcome);
  // Ends the probe and reports its requests if the upstream has crashed.
  void Decide(const Key& key, bool crashed);

  boost::asio::io_context& io_;
  const Handler handler_;
  std::map<Key, std::unique_ptr<Probe>> probes_;
  // Upstreams that have crashed, and when that was detected.
  std::map<Key, BootTime> crashed_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_CRASH_DETECTOR_H_
