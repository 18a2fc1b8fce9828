// Relayed updates as JSON datagrams.

#include "entry/relayed_update.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/json_text.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Without the field that only entries that may be outdated have.
constexpr std::size_t kEntryFieldCount = 8;
constexpr std::size_t kFieldsWithoutRelays = 6;
constexpr std::size_t kFieldsWithoutPeers = 8;
constexpr std::size_t kFieldsWithoutEvacuations = 9;
constexpr std::size_t kFieldsWithoutAges = 11;

using AddressByZone = std::map<std::string, std::string, std::less<>>;

json::array EncodeChange(const FleetChange& change) {
  json::array fields{change.name};
  if (!change.entry)
    return fields;
  const ListedUpstream& entry = *change.entry;
  fields.emplace_back(entry.service);
  fields.emplace_back(entry.address);
  fields.emplace_back(entry.zone);
  fields.emplace_back(entry.slots);
  fields.emplace_back(entry.leaving);
  fields.emplace_back(
      duration_cast<milliseconds>(entry.cold_remaining).count());
  fields.emplace_back(entry.started_at.count());
  if (entry.may_be_outdated)
    fields.emplace_back(true);
  return fields;
}

FleetChange ParseChange(const json::array& fields) {
  FleetChange change;
  change.name = JsonText(fields.at(0));
  if (fields.size() < kEntryFieldCount)
    return change;
  ListedUpstream entry;
  entry.name = change.name;
  entry.service = JsonText(fields.at(1));
  entry.address = JsonText(fields.at(2));
  entry.zone = JsonText(fields.at(3));
  entry.slots = fields.at(4).to_number<std::uint32_t>();
  entry.leaving = fields.at(5).as_bool();
  entry.cold_remaining = milliseconds(fields.at(6).to_number<std::int64_t>());
  entry.started_at = milliseconds(fields.at(7).to_number<std::int64_t>());
  if (fields.size() > kEntryFieldCount)
    entry.may_be_outdated = fields.at(kEntryFieldCount).as_bool();
  change.entry = std::move(entry);
  return change;
}

json::object EncodeAddresses(const AddressByZone& addresses) {
  json::object object;
  for (const auto& [zone, address] : addresses)
    object[zone] = address;
  return object;
}

AddressByZone ParseAddresses(const json::value& value) {
  AddressByZone addresses;
  for (const auto& [zone, address] : value.as_object())
    addresses[std::string(zone)] = JsonText(address);
  return addresses;
}

json::value EncodeAge(const std::optional<nanoseconds>& age) {
  return age ? json::value(duration_cast<milliseconds>(*age).count())
             : json::value();
}

std::optional<nanoseconds> ParseAge(const json::value& value) {
  if (value.is_null())
    return std::nullopt;
  // A negative age would pass for knowledge of the future.
  return std::max(milliseconds(value.to_number<std::int64_t>()),
                  milliseconds(0));
}

}  // namespace

std::string EncodeRelayedUpdate(const RelayedUpdate& update) {
  json::array changes;
  for (const FleetChange& change : update.changes)
    changes.push_back(EncodeChange(change));
  return json::serialize(json::array{
      update.list_from, update.list_to, std::move(changes),
      update.configuration_version, update.grant_log_offset,
      EncodeAddresses(update.configuration_sources), update.instances,
      EncodeAddresses(update.zone_relays),
      json::array(update.peers.begin(), update.peers.end()),
      update.evacuations_position,
      json::array(update.evacuated_zones.begin(), update.evacuated_zones.end()),
      EncodeAge(update.list_age), EncodeAge(update.evacuations_age)});
}

std::optional<RelayedUpdate> ParseRelayedUpdate(std::string_view text) {
  try {
    const json::value value = json::parse({text.data(), text.size()});
    const json::array& fields = value.as_array();
    RelayedUpdate update;
    update.list_from = fields.at(0).to_number<std::uint64_t>();
    update.list_to = fields.at(1).to_number<std::uint64_t>();
    for (const json::value& change : fields.at(2).as_array())
      update.changes.push_back(ParseChange(change.as_array()));
    update.configuration_version = fields.at(3).to_number<std::uint64_t>();
    update.grant_log_offset = fields.at(4).to_number<std::uint64_t>();
    update.configuration_sources = ParseAddresses(fields.at(5));
    // Updates of earlier versions end here.
    if (fields.size() > kFieldsWithoutRelays) {
      update.instances = fields.at(6).to_number<std::uint32_t>();
      update.zone_relays = ParseAddresses(fields.at(7));
    }
    if (fields.size() > kFieldsWithoutPeers) {
      for (const json::value& peer : fields.at(8).as_array())
        update.peers.push_back(JsonText(peer));
    }
    if (fields.size() > kFieldsWithoutEvacuations) {
      update.evacuations_position = fields.at(9).to_number<std::uint64_t>();
      for (const json::value& zone : fields.at(10).as_array())
        update.evacuated_zones.insert(JsonText(zone));
    }
    if (fields.size() > kFieldsWithoutAges) {
      update.list_age = ParseAge(fields.at(11));
      update.evacuations_age = ParseAge(fields.at(12));
    }
    return update;
  } catch (const std::exception&) {
    // Boost.JSON reports a malformed datagram as an exception.
    return std::nullopt;
  }
}

}  // namespace pollenrudder
