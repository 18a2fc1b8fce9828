// Settings file of the daemon.

#ifndef POLLENRUDDER_DOCUMENT_DAEMON_SETTINGS_H_
#define POLLENRUDDER_DOCUMENT_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "document/document_error.h"
#include "document/tls_files.h"

namespace pollenrudder {

// Identity of this instance, its listening addresses and the addresses of the
// platform's services. Addresses are "ip:port"; port 0 selects a free port.
struct DaemonSettings {
  std::string name;
  std::string region;
  std::string zone;
  std::string caller_address;
  std::string forward_address;
  std::string peer_address;
  std::string admin_address;
  std::string log_address;
  std::string instance_list_address;
  // If false, this instance reads the log directly instead of through a
  // same-zone peer.
  bool relay_tree = true;
  // Number of threads that serve callers.
  std::uint32_t threads = 1;
  // The memory that the process may use.
  std::uint32_t memory_bytes = 256U << 20;
  std::optional<TlsFiles> caller_tls;
  std::optional<TlsFiles> peer_tls;

  struct Checked;
  // Parses the text of a settings file and returns every error in it. The name,
  // region, zone and all addresses are required.
  static Checked Parse(std::string_view text);

  bool operator==(const DaemonSettings&) const = default;
};

struct DaemonSettings::Checked {
  DaemonSettings settings;
  std::vector<DocumentError> errors;

  bool valid() const { return errors.empty(); }
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_DOCUMENT_DAEMON_SETTINGS_H_
