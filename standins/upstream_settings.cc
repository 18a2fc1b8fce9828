// Parses the JSON settings of the upstream stand-in.

#include "standins/upstream_settings.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

void Read(const json::value& value, std::string& member) {
  member = value.as_string();
}

void Read(const json::value& value, bool& member) {
  member = value.as_bool();
}

void Read(const json::value& value, int& member) {
  member = value.to_number<int>();
}

void Read(const json::value& value, std::size_t& member) {
  member = value.to_number<std::size_t>();
}

void Read(const json::value& value, std::chrono::milliseconds& member) {
  member = std::chrono::milliseconds(value.to_number<int>());
}

}  // namespace

void UpstreamSettings::Apply(const json::object& settings) {
  const auto read = [&settings](const char* key, auto& member) {
    if (const json::value* const value = settings.if_contains(key))
      Read(*value, member);
  };
  read("name", name);
  read("service_ms", service_ms);
  read("slots", slots);
  read("connections", connections);
  read("checks_fence", checks_fence);
  read("echoes_request_id", echoes_request_id);
  read("accepts_cancellation", accepts_cancellation);
  read("cold_ms", cold_ms);
  read("cold_factor", cold_factor);
  read("shed", shed);
  read("truncate", truncate);
  read("swap", swap);
  read("journal", journal);
  read("crash_body", crash_body);
  read("health", health);
  read("claimed_load", claimed_load);
}

}  // namespace pollenrudder
