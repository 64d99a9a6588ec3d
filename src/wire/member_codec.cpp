#include "wire/codec_helpers.h"

namespace lentilrack::wire {

namespace {

constexpr EnumNames<core::MemberRole, 2> kRoles{ {
  { core::MemberRole::Entry, "entry" },
  { core::MemberRole::Dispatch, "dispatch" },
} };
constexpr EnumNames<core::MemberState, 4> kStates{ {
  { core::MemberState::Alive, "alive" },
  { core::MemberState::Suspect, "suspect" },
  { core::MemberState::Leaving, "leaving" },
  { core::MemberState::Dead, "dead" },
} };
Json
encodeLoads(const std::map<std::string, core::TargetLoad>& loads)
{
  Json json = Json::object();
  for (const auto& [target, load] : loads) {
    json[target] = encodeTargetLoad(load);
  }
  return json;
}

std::map<std::string, core::TargetLoad>
readLoads(ObjectReader& reader)
{
  std::map<std::string, core::TargetLoad> loads;
  const auto json = reader.optional<Json>("load", Json::object());
  for (const auto& [target, item] : json.items()) {
    loads[target] = readTargetLoad(reader, item);
  }
  return loads;
}

} // namespace

Json
encode(const core::Member& member)
{
  Json json{ { "id", encodeProcessId(member.id) },
             { "role", enumName(kRoles, member.role) },
             { "failure_domain", member.failureDomain },
             { "link", member.link.text() },
             { "state", enumName(kStates, member.state) },
             { "table_revision", member.tableRevision },
             { "report", member.reportNumber },
             { "in_flight", member.inFlight },
             { "weight_cache", member.hasWeightCache },
             { "load", encodeLoads(member.load) } };
  if (member.http) {
    json["http"] = member.http->text();
  }
  return json;
}

template<>
Decoded<core::Member>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    core::Member member;
    member.id = readProcessId(reader, "id");
    member.role = readEnum(reader, "role", kRoles);
    member.failureDomain = reader.required<std::string>("failure_domain");
    member.link = readEndpoint(reader, "link");
    member.state = readEnum(reader, "state", kStates);
    member.tableRevision = reader.integer("table_revision", 0, kMaxVersion);
    member.reportNumber = reader.required<std::uint64_t>("report");
    member.inFlight = reader.integer("in_flight", 0, kMaxVersion);
    member.hasWeightCache = reader.optional<bool>("weight_cache", false);
    member.load = readLoads(reader);
    if (reader.findField("http") != nullptr) {
      member.http = readEndpoint(reader, "http");
    }
    reader.rejectUnknownFields();
    return member;
  });
}

Json
encode(const Ping& ping)
{
  return { { "sender", encode(ping.sender) },
           { "updates", encodeList(ping.updates) } };
}

template<>
Decoded<Ping>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    Ping ping;
    ping.sender =
      valueOrThrow(decode<core::Member>(reader.required<Json>("sender")));
    ping.updates = readList<core::Member>(reader, "updates");
    reader.rejectUnknownFields();
    return ping;
  });
}

Json
encode(const PingRequest& request)
{
  return { { "target", request.target.text() } };
}

template<>
Decoded<PingRequest>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    PingRequest request;
    request.target = readEndpoint(reader, "target");
    reader.rejectUnknownFields();
    return request;
  });
}

} // namespace lentilrack::wire
