// Encodes load reports as JSON datagrams.

#include "grants/load_report.h"

#include <boost/json.hpp>

#include "base/json_text.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

std::string ToText(json::string_view text) {
  return {text.data(), text.size()};
}

json::array EncodeIncarnations(
    const std::vector<UpstreamIncarnation>& incarnations) {
  json::array encoded;
  for (const UpstreamIncarnation& incarnation : incarnations)
    encoded.push_back(
        json::array{incarnation.name, incarnation.started_at.count()});
  return encoded;
}

std::vector<UpstreamIncarnation> ParseIncarnations(const json::value& encoded) {
  std::vector<UpstreamIncarnation> incarnations;
  for (const json::value& incarnation : encoded.as_array()) {
    incarnations.push_back(
        {JsonText(incarnation.as_array().at(0)),
         std::chrono::milliseconds(
             incarnation.as_array().at(1).to_number<std::int64_t>())});
  }
  return incarnations;
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  json::object services;
  for (const auto& [name, load] : report.services) {
    json::array keys(load.keys.begin(), load.keys.end());
    json::object upstreams;
    for (const auto& [upstream, share] : load.upstreams)
      upstreams[upstream] = json::array{share.outstanding, share.answered};
    json::array parts{json::value(std::move(keys)), std::move(upstreams),
                      EncodeIncarnations(load.replaced)};
    // Rarely there, and the bytes of reports to another region are billed.
    if (!load.leaving.empty())
      parts.push_back(EncodeIncarnations(load.leaving));
    services[name] = std::move(parts);
  }
  json::object object{{"i", report.instance},
                      {"z", report.zone},
                      {"c", report.cores},
                      {"s", std::move(services)}};
  if (report.instances > 1)
    object["n"] = report.instances;
  if (const auto& member = report.strongest_member)
    object["m"] = json::array{member->instance, member->address, member->cores};
  return json::serialize(object);
}

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    LoadReport report;
    report.instance = JsonText(value.at("i"));
    report.zone = JsonText(value.at("z"));
    report.cores = value.at("c").to_number<double>();
    if (const json::value* instances = value.as_object().if_contains("n"))
      report.instances = instances->to_number<std::uint32_t>();
    if (const json::value* member = value.as_object().if_contains("m")) {
      const json::array& fields = member->as_array();
      report.strongest_member = {JsonText(fields.at(0)), JsonText(fields.at(1)),
                                 fields.at(2).to_number<double>()};
    }
    for (const auto& [name, parts] : value.at("s").as_object()) {
      ServiceLoad& load = report.services[ToText(name)];
      for (const json::value& key : parts.as_array().at(0).as_array())
        load.keys.push_back(key.to_number<KeyNumber>());
      for (const auto& [upstream, share] : parts.as_array().at(1).as_object()) {
        load.upstreams[ToText(upstream)] = {
            share.as_array().at(0).to_number<std::uint32_t>(),
            share.as_array().at(1).to_number<std::uint32_t>()};
      }
      load.replaced = ParseIncarnations(parts.as_array().at(2));
      if (parts.as_array().size() > 3)
        load.leaving = ParseIncarnations(parts.as_array().at(3));
    }
    return report;
  } catch (const std::exception&) {
    // Boost.JSON throws for a malformed datagram.
    return std::nullopt;
  }
}

}  // namespace pollenrudder
