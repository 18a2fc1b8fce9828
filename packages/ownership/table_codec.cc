// Encodes TableState as JSON and decodes it.

#include "ownership/table_codec.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "ownership/json_fields.h"
#include "ownership/log_record.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

json::object EncodeTerm(const TermState& term) {
  return {{"upstream", term.upstream},
          {"service", term.service},
          {"zone", term.zone},
          {"region", term.region},
          {"address", term.address},
          {"term", term.term},
          {"record", term.record_id},
          {"kind", TermKindName(term.kind)},
          {"leader_since", term.leader_fence},
          {"leader", term.leader},
          {"leader_zone", term.leader_zone},
          {"leader_forward", term.leader_forward_address},
          {"leader_peer", term.leader_peer_address},
          {"voters", EncodeVoters(term.voters)},
          {"isolation_hold_ns", term.isolation_hold.count()},
          {"wait_ns", term.wait.count()},
          {"active", term.active},
          {"lost", term.lost},
          {"replaced_leader", term.replaced_leader},
          {"replaced_leader_zone", term.replaced_leader_zone}};
}

TermState DecodeTerm(const json::object& object) {
  TermState term;
  term.upstream = RequireString(object, "upstream");
  term.service = RequireString(object, "service");
  term.zone = RequireString(object, "zone");
  term.region = RequireString(object, "region");
  term.address = RequireString(object, "address");
  term.term = RequireUnsigned(object, "term");
  term.record_id = RequireString(object, "record");
  term.kind = RequireTermKind(object, "kind");
  term.leader_fence = RequireUnsigned(object, "leader_since");
  term.leader = RequireString(object, "leader");
  term.leader_zone = RequireString(object, "leader_zone");
  term.leader_forward_address = RequireString(object, "leader_forward");
  term.leader_peer_address = RequireString(object, "leader_peer");
  term.voters = DecodeVoters(RequireArray(object, "voters"));
  term.isolation_hold = RequireNanoseconds(object, "isolation_hold_ns");
  term.wait = RequireNanoseconds(object, "wait_ns");
  term.active = RequireBool(object, "active");
  term.lost = RequireBool(object, "lost");
  term.replaced_leader = RequireString(object, "replaced_leader");
  term.replaced_leader_zone = RequireString(object, "replaced_leader_zone");
  return term;
}

// Owners are encoded as indexes into a list of names, because one name per
// shard would multiply the size of the checkpoint.
json::object EncodeShards(const std::vector<ShardState>& shards) {
  std::map<std::string, std::int64_t> indexes;
  json::array names;
  json::array owners;
  json::array placed_offsets;
  for (const ShardState& shard : shards) {
    placed_offsets.emplace_back(shard.placed_offset);
    if (!shard.has_owner()) {
      owners.emplace_back(0);
      continue;
    }
    const auto [entry, added] = indexes.try_emplace(
        shard.upstream, static_cast<std::int64_t>(indexes.size()));
    if (added)
      names.emplace_back(shard.upstream);
    owners.emplace_back(entry->second);
  }
  return {{"names", std::move(names)},
          {"owners", std::move(owners)},
          {"placed", std::move(placed_offsets)}};
}

std::vector<ShardState> DecodeShards(const json::object& object) {
  const json::array& names = RequireArray(object, "names");
  const json::array& owners = RequireArray(object, "owners");
  const json::array& placed_offsets = RequireArray(object, "placed");
  if (owners.size() != placed_offsets.size())
    throw JsonFieldError("shard arrays differ in size");
  std::vector<ShardState> shards(owners.size());
  for (std::size_t shard = 0; shard < shards.size(); ++shard) {
    shards[shard].placed_offset = AsUnsigned(placed_offsets[shard]);
    if (!shards[shard].has_owner())
      continue;
    const std::uint64_t index = AsUnsigned(owners[shard]);
    if (index >= names.size() || !names[index].is_string())
      throw JsonFieldError("unknown shard owner");
    shards[shard].upstream = names[index].get_string().c_str();
  }
  return shards;
}

json::array EncodeMarks(const std::vector<FingerprintMark>& marks) {
  json::array array;
  for (const FingerprintMark& mark : marks) {
    array.push_back(json::object{{"service", mark.service},
                                 {"fingerprint", mark.fingerprint},
                                 {"until_ms", WallMilliseconds(mark.until)}});
  }
  return array;
}

std::vector<FingerprintMark> DecodeMarks(const json::array& array) {
  std::vector<FingerprintMark> marks;
  for (const json::value& value : array) {
    const json::object& object = AsObject(value);
    marks.push_back({RequireString(object, "service"),
                     RequireUnsigned(object, "fingerprint"),
                     RequireWallTime(object, "until_ms")});
  }
  return marks;
}

json::object EncodeState(const TableState& state) {
  json::array sections;
  for (const auto& [team, version] : state.sections) {
    sections.push_back(json::object{
        {"team", team}, {"offset", version.offset}, {"text", version.text}});
  }
  json::array terms;
  for (const auto& [upstream, term] : state.terms)
    terms.push_back(EncodeTerm(term));
  json::object shards;
  for (const auto& [service, service_shards] : state.shards)
    shards[service] = EncodeShards(service_shards);
  json::array abandoned;
  for (const std::string& id : state.abandoned)
    abandoned.emplace_back(id);
  return {{"format", LogRecord::kFormat},
          {"offset", state.offset},
          {"sections", std::move(sections)},
          {"terms", std::move(terms)},
          {"shards", std::move(shards)},
          {"abandoned", std::move(abandoned)},
          {"suspects", EncodeMarks(state.suspects)},
          {"quarantined", EncodeMarks(state.quarantined)}};
}

TableState DecodeState(const json::object& object) {
  TableState state;
  state.offset = RequireUnsigned(object, "offset");
  for (const json::value& value : RequireArray(object, "sections")) {
    const json::object& section = AsObject(value);
    state.sections[RequireString(section, "team")] = SectionVersion{
        RequireUnsigned(section, "offset"), RequireString(section, "text")};
  }
  for (const json::value& value : RequireArray(object, "terms")) {
    TermState term = DecodeTerm(AsObject(value));
    std::string upstream = term.upstream;
    state.terms.insert_or_assign(std::move(upstream), std::move(term));
  }
  for (const auto& member : AsObject(RequireField(object, "shards"))) {
    state.shards[std::string(member.key())] =
        DecodeShards(AsObject(member.value()));
  }
  for (const json::value& value : RequireArray(object, "abandoned")) {
    if (!value.is_string())
      throw JsonFieldError("not a string: abandoned");
    state.abandoned.emplace_back(value.get_string().c_str());
  }
  state.suspects = DecodeMarks(RequireArray(object, "suspects"));
  state.quarantined = DecodeMarks(RequireArray(object, "quarantined"));
  return state;
}

// Whether the byte is a continuation byte of a UTF-8 sequence.
bool IsContinuation(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

}  // namespace

std::vector<std::string> EncodeTable(const TableState& state,
                                     std::size_t part_bytes) {
  const std::string text = json::serialize(EncodeState(state));
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    std::size_t end = std::min(begin + part_bytes, text.size());
    while (end < text.size() && end > begin + 1 && IsContinuation(text[end]))
      --end;
    parts.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return parts;
}

Result<TableState> DecodeTable(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts)
    text += part;
  json::error_code error;
  const json::value value = json::parse(text, error);
  if (error)
    return MakeError(ErrorKind::kPeerProtocol, error.message());
  try {
    const json::object& object = AsObject(value);
    if (RequireUnsigned(object, "format") != LogRecord::kFormat) {
      return MakeError(ErrorKind::kUnsupportedRecord,
                       "unknown checkpoint format");
    }
    return DecodeState(object);
  } catch (const JsonFieldError& failure) {
    return MakeError(ErrorKind::kPeerProtocol, failure.what());
  }
}

}  // namespace pollenrudder
