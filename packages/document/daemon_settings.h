// The daemon's own settings file.

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

// Who this instance is and where it finds the platform. Addresses are
// "ip:port"; port 0 takes a free port.
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
  // False: this instance reads the log itself instead of through a zone peer.
  bool relay_tree = true;
  // Threads that serve callers.
  std::uint32_t threads = 1;
  std::optional<TlsFiles> caller_tls;
  std::optional<TlsFiles> peer_tls;

  struct Checked;
  // Parses the text of a settings file and reports every error in it. Name,
  // region, zone and the platform's addresses have no default.
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
