// The recent load of the keys and upstreams of one service.

#ifndef POLLENRUDDER_GRANTS_KEY_LOAD_H_
#define POLLENRUDDER_GRANTS_KEY_LOAD_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_clock.h"
#include "grants/load_report.h"

namespace pollenrudder {

// Aggregates the load reports of all instances. The requested keys are kept as
// samples of a short window, so that a load shift to other keys is visible
// within a fraction of a second.
class KeyLoad {
 public:
  static constexpr std::chrono::milliseconds kWindow{1000};

  void SetSlots(const std::string& upstream, std::uint32_t slots);
  void Add(const std::string& instance, const ServiceLoad& load, BootTime now);

  // Returns the keys requested within the window, sorted.
  std::vector<KeyNumber> SortedKeys(BootTime now);
  // Returns the length of the part of the window that reports cover.
  std::chrono::duration<double> SampledDuration(BootTime now) const;
  // Returns how long one request occupies a slot of `upstream`; the mean of the
  // service while too few of its responses are known.
  std::chrono::duration<double> ServiceTimeOf(std::string_view upstream) const;
  // Returns the number of requests that all instances have in flight to
  // `upstream` or queued for it.
  double OutstandingAt(std::string_view upstream) const;

 private:
  struct Sample {
    BootTime time;
    KeyNumber key;
  };
  struct Upstream {
    std::uint32_t slots = 1;
    std::map<std::string, std::uint32_t> outstanding_by_instance;
    BootTime updated{};
    // Exponentially decayed sums.
    double busy_seconds = 0;
    double answered = 0;
  };

  static void Decay(Upstream& upstream, BootTime now);

  std::deque<Sample> samples_;
  BootTime first_report_{};
  std::map<std::string, Upstream, std::less<>> upstreams_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_KEY_LOAD_H_
