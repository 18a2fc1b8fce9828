// Parser of the daemon's settings file.

#include "document/daemon_settings.h"

#include <yaml-cpp/yaml.h>

#include "document/mapping_reader.h"

namespace pollenrudder {
namespace {

constexpr MappingReader::Range kThreadRange{1, 64};
constexpr MappingReader::Range kMemoryRange{64 << 20, 0xFFFFFFFF};

TlsFiles ReadTlsFiles(const YAML::Node& node,
                      const std::string& mapping_name,
                      bool authority_required,
                      std::vector<DocumentError>& errors) {
  TlsFiles files;
  MappingReader reader(node, mapping_name, errors);
  reader.Require("certificate");
  reader.Require("key");
  if (authority_required)
    reader.Require("authority");
  reader.ReadText("certificate", files.certificate);
  reader.ReadText("key", files.key);
  reader.ReadText("authority", files.authority);
  reader.Finish();
  return files;
}

void ReadTls(const YAML::Node& node,
             DaemonSettings& settings,
             std::vector<DocumentError>& errors) {
  MappingReader reader(node, "tls", errors);
  reader.ReadChild("callers", [&](const YAML::Node& child) {
    settings.caller_tls = ReadTlsFiles(child, "tls.callers", false, errors);
  });
  reader.ReadChild("peers", [&](const YAML::Node& child) {
    settings.peer_tls = ReadTlsFiles(child, "tls.peers", true, errors);
  });
  reader.Finish();
}

}  // namespace

DaemonSettings::Checked DaemonSettings::Parse(std::string_view text) {
  Checked checked;
  DaemonSettings& settings = checked.settings;
  const auto root = MappingReader::ParseText(text, checked.errors);
  if (!root)
    return checked;
  MappingReader reader(*root, "settings", checked.errors);
  for (const char* field : {"name", "region", "zone", "caller", "forward",
                            "peer", "admin", "log", "instance_list"})
    reader.Require(field);
  reader.ReadName("name", settings.name);
  reader.ReadName("region", settings.region);
  reader.ReadName("zone", settings.zone);
  reader.ReadAddress("caller", settings.caller_address);
  reader.ReadAddress("forward", settings.forward_address);
  reader.ReadAddress("peer", settings.peer_address);
  reader.ReadAddress("admin", settings.admin_address);
  reader.ReadAddress("log", settings.log_address);
  reader.ReadAddress("instance_list", settings.instance_list_address);
  reader.ReadBoolean("relay_tree", settings.relay_tree);
  reader.ReadNumber("threads", settings.threads, kThreadRange);
  reader.ReadByteSize("memory", settings.memory_bytes, kMemoryRange);
  reader.ReadChild("tls", [&](const YAML::Node& child) {
    ReadTls(child, settings, checked.errors);
  });
  reader.Finish();
  return checked;
}

}  // namespace pollenrudder
