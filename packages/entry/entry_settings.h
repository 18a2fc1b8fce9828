// The settings of one entry instance.

#ifndef POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_
#define POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace pollenrudder {

// Identity, addresses and limits. The defaults of the limits apply if the
// platform specifies none.
struct EntrySettings {
  std::string instance;
  std::string zone;
  std::map<std::string, std::string, std::less<>> region_of_zone;
  // The processor time that this instance may use, in cores.
  double cores = 1;
  // The memory that this instance may use.
  std::size_t memory_bytes = std::size_t{160} << 20;
  // The sockets that this instance may have open.
  std::size_t max_sockets = 3900;
  // Addresses as "ip:port".
  std::string caller_address;
  std::string probe_address;
  std::string metrics_address;
  std::string report_address;
  std::string store_address;

  // Time from the stop signal until the process is killed.
  std::chrono::nanoseconds grace_period = std::chrono::seconds(6);
  double retry_ratio = 0.2;
  // The retry budget of a service, for all instances together.
  double retry_slack = 50;
  std::chrono::nanoseconds retry_window = std::chrono::seconds(10);
  // The share of the requests of a service that may be hedged; 0 is off. Given
  // on the command line.
  double hedge_share = 0;
  // The longest grant TTL that upstreams accept.
  std::chrono::nanoseconds max_grant_ttl = std::chrono::seconds(10);
  // Interval at which the instance list is read. The platform derives it from
  // the time within which a leaving upstream must stop receiving new requests.
  std::chrono::nanoseconds list_interval = std::chrono::milliseconds(900);
  // How long the owner of keys gets requests after it announced that it is
  // leaving. Derived from the same time.
  std::chrono::nanoseconds leaving_owner_time = std::chrono::seconds(1);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_
