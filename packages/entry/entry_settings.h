// The settings of one entry instance.

#ifndef POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_
#define POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>

namespace pollenrudder {

// Where an instance stands and listens, and the bounds it keeps. The defaults
// of the bounds are for a platform that names none.
struct EntrySettings {
  std::string instance;
  std::string zone;
  std::map<std::string, std::string, std::less<>> region_of_zone;
  // The processor time that this instance may use, in cores.
  double cores = 1;
  // "ip:port" each.
  std::string caller_address;
  std::string probe_address;
  std::string metrics_address;
  std::string report_address;
  std::string store_address;

  // From the signal to stop until the process is ended by force.
  std::chrono::nanoseconds grace_period = std::chrono::seconds(6);
  double retry_ratio = 0.2;
  // For all instances together.
  double retry_slack = 50;
  std::chrono::nanoseconds retry_window = std::chrono::seconds(10);
  // The longest grant that upstreams accept.
  std::chrono::nanoseconds max_grant_ttl = std::chrono::seconds(10);
  // How often the list of upstreams is read. The platform's part chooses it
  // from the time in which a leaving upstream must get no more work.
  std::chrono::nanoseconds list_interval = std::chrono::milliseconds(900);
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ENTRY_ENTRY_SETTINGS_H_
