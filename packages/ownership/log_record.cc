// Encodes log records as JSON and decodes them.

#include "ownership/log_record.h"

#include <utility>

#include "ownership/json_fields.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

json::object EncodeBody(const SectionRecord& record) {
  return {{"type", "section"},
          {"team", record.team},
          {"previous", record.previous},
          {"text", record.text}};
}

json::object EncodeEntry(const TermEntry& entry) {
  return {{"upstream", entry.upstream},
          {"service", entry.service},
          {"zone", entry.zone},
          {"region", entry.region},
          {"address", entry.address},
          {"previous", entry.previous},
          {"kind", TermKindName(entry.kind)},
          {"leader", entry.leader},
          {"leader_zone", entry.leader_zone},
          {"leader_forward", entry.leader_forward_address},
          {"leader_peer", entry.leader_peer_address},
          {"voters", EncodeVoters(entry.voters)},
          {"isolation_hold_ns", entry.isolation_hold.count()},
          {"wait_ns", entry.wait.count()}};
}

json::object EncodeBody(const TermRecord& record) {
  json::array entries;
  for (const TermEntry& entry : record.entries)
    entries.push_back(EncodeEntry(entry));
  return {{"type", "term"}, {"entries", std::move(entries)}};
}

json::object EncodeBody(const ActiveRecord& record) {
  return {
      {"type", "active"}, {"upstream", record.upstream}, {"term", record.term}};
}

json::object EncodeBody(const AbandonRecord& record) {
  return {{"type", "abandon"}, {"record", record.record}};
}

json::object EncodeBody(const PlaceRecord& record) {
  json::array placements;
  for (const PlacedShard& placement : record.placements)
    placements.push_back(json::array{placement.shard, placement.upstream});
  return {{"type", "place"},
          {"service", record.service},
          {"shards", std::move(placements)}};
}

json::object EncodeBody(const MoveRecord& record) {
  json::array moves;
  for (const ShardMove& move : record.moves)
    moves.push_back(json::array{move.shard, move.placed_offset, move.target});
  return {{"type", "move"},
          {"upstream", record.upstream},
          {"term", record.term},
          {"service", record.service},
          {"shards", std::move(moves)},
          {"suspects", EncodeFingerprints(record.suspects)},
          {"suspects_until_ms", WallMilliseconds(record.suspects_until)},
          {"lost", record.lost}};
}

json::object EncodeBody(const QuarantineRecord& record) {
  return {{"type", "quarantine"},
          {"service", record.service},
          {"fingerprint", record.fingerprint},
          {"until_ms", WallMilliseconds(record.until)}};
}

json::object EncodeBody(const RetireRecord& record) {
  return {
      {"type", "retire"}, {"upstream", record.upstream}, {"term", record.term}};
}

json::object EncodeBody(const CheckpointRecord& record) {
  return {{"type", "checkpoint"},    {"checkpoint", record.checkpoint},
          {"offset", record.offset}, {"part", record.part},
          {"parts", record.parts},   {"table", record.table}};
}

SectionRecord DecodeSection(const json::object& object) {
  return {RequireString(object, "team"), RequireUnsigned(object, "previous"),
          RequireString(object, "text")};
}

TermEntry DecodeEntry(const json::object& object) {
  TermEntry entry;
  entry.upstream = RequireString(object, "upstream");
  entry.service = RequireString(object, "service");
  entry.zone = RequireString(object, "zone");
  entry.region = RequireString(object, "region");
  entry.address = RequireString(object, "address");
  entry.previous = RequireUnsigned(object, "previous");
  entry.kind = RequireTermKind(object, "kind");
  entry.leader = RequireString(object, "leader");
  entry.leader_zone = RequireString(object, "leader_zone");
  entry.leader_forward_address = RequireString(object, "leader_forward");
  entry.leader_peer_address = RequireString(object, "leader_peer");
  entry.voters = DecodeVoters(RequireArray(object, "voters"));
  entry.isolation_hold = RequireNanoseconds(object, "isolation_hold_ns");
  entry.wait = RequireNanoseconds(object, "wait_ns");
  return entry;
}

TermRecord DecodeTerm(const json::object& object) {
  TermRecord record;
  for (const json::value& value : RequireArray(object, "entries"))
    record.entries.push_back(DecodeEntry(AsObject(value)));
  return record;
}

const json::array& AsTuple(const json::value& value, std::size_t size) {
  const json::array* array = value.if_array();
  if (!array || array->size() != size)
    throw JsonFieldError("shard entry is not an array of the expected size");
  return *array;
}

std::uint32_t AsShard(const json::value& value) {
  const std::uint64_t number = AsUnsigned(value);
  if (number > UINT32_MAX)
    throw JsonFieldError("shard out of range");
  return static_cast<std::uint32_t>(number);
}

std::string AsName(const json::value& value) {
  const json::string* text = value.if_string();
  if (!text)
    throw JsonFieldError("not a string in a shard entry");
  return std::string(text->data(), text->size());
}

PlaceRecord DecodePlace(const json::object& object) {
  PlaceRecord record;
  record.service = RequireString(object, "service");
  for (const json::value& value : RequireArray(object, "shards")) {
    const json::array& tuple = AsTuple(value, 2);
    record.placements.push_back({AsShard(tuple[0]), AsName(tuple[1])});
  }
  return record;
}

MoveRecord DecodeMove(const json::object& object) {
  MoveRecord record;
  record.upstream = RequireString(object, "upstream");
  record.term = RequireUnsigned(object, "term");
  record.service = RequireString(object, "service");
  for (const json::value& value : RequireArray(object, "shards")) {
    const json::array& tuple = AsTuple(value, 3);
    record.moves.push_back(
        {AsShard(tuple[0]), AsUnsigned(tuple[1]), AsName(tuple[2])});
  }
  record.suspects = DecodeFingerprints(RequireArray(object, "suspects"));
  record.suspects_until = RequireWallTime(object, "suspects_until_ms");
  record.lost = RequireBool(object, "lost");
  return record;
}

CheckpointRecord DecodeCheckpoint(const json::object& object) {
  CheckpointRecord record;
  record.checkpoint = RequireString(object, "checkpoint");
  record.offset = RequireUnsigned(object, "offset");
  record.part = RequireUnsigned32(object, "part");
  record.parts = RequireUnsigned32(object, "parts");
  record.table = RequireString(object, "table");
  if (record.part >= record.parts)
    throw JsonFieldError("checkpoint part out of range");
  return record;
}

Result<LogRecordBody> DecodeBody(std::string_view type,
                                 const json::object& object) {
  if (type == "section")
    return LogRecordBody(DecodeSection(object));
  if (type == "term")
    return LogRecordBody(DecodeTerm(object));
  if (type == "active") {
    return LogRecordBody(ActiveRecord{RequireString(object, "upstream"),
                                      RequireUnsigned(object, "term")});
  }
  if (type == "abandon")
    return LogRecordBody(AbandonRecord{RequireString(object, "record")});
  if (type == "place")
    return LogRecordBody(DecodePlace(object));
  if (type == "move")
    return LogRecordBody(DecodeMove(object));
  if (type == "quarantine") {
    return LogRecordBody(
        QuarantineRecord{RequireString(object, "service"),
                         RequireUnsigned(object, "fingerprint"),
                         RequireWallTime(object, "until_ms")});
  }
  if (type == "retire") {
    return LogRecordBody(RetireRecord{RequireString(object, "upstream"),
                                      RequireUnsigned(object, "term")});
  }
  if (type == "checkpoint")
    return LogRecordBody(DecodeCheckpoint(object));
  return MakeError(ErrorKind::kUnsupportedRecord,
                   "unknown record type " + std::string(type));
}

Result<LogRecord> DecodeObject(const json::object& object) {
  const std::uint64_t format = RequireUnsigned(object, "format");
  if (format != LogRecord::kFormat) {
    return MakeError(ErrorKind::kUnsupportedRecord,
                     "unknown record format " + std::to_string(format));
  }
  LogRecord record;
  record.id = RequireString(object, "id");
  record.by = RequireString(object, "by");
  BOOST_OUTCOME_TRY(record.body,
                    DecodeBody(RequireString(object, "type"), object));
  return record;
}

}  // namespace

std::string EncodeLogRecord(const LogRecord& record) {
  json::object object = std::visit(
      [](const auto& body) { return EncodeBody(body); }, record.body);
  object["format"] = LogRecord::kFormat;
  object["id"] = record.id;
  object["by"] = record.by;
  return json::serialize(object);
}

Result<LogRecord> DecodeLogRecord(std::string_view data) {
  json::error_code error;
  const json::value value = json::parse(data, error);
  if (error)
    return MakeError(ErrorKind::kPeerProtocol, error.message());
  try {
    return DecodeObject(AsObject(value));
  } catch (const JsonFieldError& failure) {
    return MakeError(ErrorKind::kPeerProtocol, failure.what());
  }
}

std::string_view TermKindName(TermKind kind) {
  switch (kind) {
    case TermKind::kFirst:
      return "first";
    case TermKind::kClaim:
      return "claim";
    case TermKind::kHandover:
      return "handover";
    case TermKind::kRevise:
      return "revise";
    case TermKind::kDeclaredLost:
      return "declared_lost";
  }
  return "first";
}

}  // namespace pollenrudder
