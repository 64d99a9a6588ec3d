#include "wire/messages.h"

#include <array>
#include <limits>

namespace lentilrack::wire {

namespace {

using core::Millis;

constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

template<typename T, std::size_t N>
using Names = std::array<std::pair<T, const char*>, N>;

constexpr Names<core::Verdict, 3> kVerdicts{ {
  { core::Verdict::Done, "done" },
  { core::Verdict::NotRun, "not_run" },
  { core::Verdict::Unknown, "unknown" },
} };
constexpr Names<core::WorkType, 3> kWorkTypes{ {
  { core::WorkType::Order, "order" },
  { core::WorkType::Call, "call" },
  { core::WorkType::Rollout, "rollout" },
} };
constexpr Names<core::MemberRole, 2> kRoles{ {
  { core::MemberRole::Entry, "entry" },
  { core::MemberRole::Dispatch, "dispatch" },
} };
constexpr Names<core::MemberState, 4> kStates{ {
  { core::MemberState::Alive, "alive" },
  { core::MemberState::Suspect, "suspect" },
  { core::MemberState::Leaving, "leaving" },
  { core::MemberState::Dead, "dead" },
} };
constexpr Names<BarState, 3> kBarStates{ {
  { BarState::Barred, "barred" },
  { BarState::Started, "started" },
  { BarState::Finished, "finished" },
} };

template<typename T, std::size_t N>
std::string
nameOf(const Names<T, N>& names, T value)
{
  for (const auto& [candidate, name] : names) {
    if (candidate == value) {
      return name;
    }
  }
  return "";
}

template<typename T, std::size_t N>
T
named(ObjectReader& reader, const char* field, const Names<T, N>& names)
{
  const auto text = reader.required<std::string>(field);
  for (const auto& [value, name] : names) {
    if (text == name) {
      return value;
    }
  }
  reader.fail(field, "has the unknown value \"" + text + "\"");
}

template<typename T>
T
unwrap(Decoded<T> decoded)
{
  if (!decoded) {
    throw DecodeException(decoded.error());
  }
  return std::move(decoded).value();
}

template<typename T>
std::vector<T>
readList(ObjectReader& reader, const char* field)
{
  std::vector<T> values;
  for (const auto& item : reader.optional<Json>(field, Json::array())) {
    values.push_back(unwrap(decode<T>(item)));
  }
  return values;
}

template<typename T>
Json
encodeList(const std::vector<T>& values)
{
  Json list = Json::array();
  for (const auto& value : values) {
    list.push_back(encode(value));
  }
  return list;
}

Json
encodeProcess(const core::ProcessId& id)
{
  return { { "name", id.name }, { "incarnation", id.incarnation } };
}

core::ProcessId
readProcess(ObjectReader& outer, const char* field)
{
  ObjectReader reader(outer.required<Json>(field), field);
  core::ProcessId id{ reader.required<std::string>("name"),
                      reader.required<std::uint64_t>("incarnation") };
  reader.finish();
  return id;
}

core::Endpoint
readEndpoint(ObjectReader& reader, const char* field)
{
  const auto text = reader.required<std::string>(field);
  const auto endpoint = core::Endpoint::parse(text);
  if (!endpoint) {
    reader.fail(field, "is not an address with a port");
  }
  return *endpoint;
}

Millis
readMillis(ObjectReader& reader, const char* field)
{
  return Millis(reader.integerOr(field, 0, kMaxMillis, 0));
}

Json
encodeCall(const core::CallContent& call)
{
  return { { "method", call.method },
           { "path", call.path },
           { "body", call.body },
           { "content_type", call.contentType } };
}

core::CallContent
readCall(const Json& json)
{
  ObjectReader reader(json, "call");
  core::CallContent call;
  call.method = reader.required<std::string>("method");
  call.path = reader.required<std::string>("path");
  call.body = reader.required<std::string>("body");
  call.contentType = reader.required<std::string>("content_type");
  reader.finish();
  return call;
}

Json
encodeLoad(const std::map<std::string, core::TargetLoad>& loads)
{
  Json json = Json::object();
  for (const auto& [target, load] : loads) {
    json[target] = {
      load.servers, load.slots, load.running, load.queuedTokens, load.tokenRate
    };
  }
  return json;
}

std::map<std::string, core::TargetLoad>
readLoad(ObjectReader& reader)
{
  std::map<std::string, core::TargetLoad> loads;
  const auto json = reader.optional<Json>("load", Json::object());
  for (const auto& [target, item] : json.items()) {
    if (!item.is_array() || item.size() != 5) {
      reader.fail("load", "must hold five numbers for each target");
    }
    loads[target] = { item[0].get<std::int64_t>(),
                      item[1].get<std::int64_t>(),
                      item[2].get<std::int64_t>(),
                      item[3].get<double>(),
                      item[4].get<double>() };
  }
  return loads;
}

} // namespace

std::string
verdictName(core::Verdict verdict)
{
  return nameOf(kVerdicts, verdict);
}

Json
encode(const core::Chunk& chunk)
{
  Json json{ { "text", chunk.text }, { "tokens", chunk.tokens } };
  if (chunk.version) {
    json["version"] = *chunk.version;
  }
  return json;
}

template<>
Decoded<core::Chunk>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    core::Chunk chunk;
    chunk.text = reader.required<std::string>("text");
    chunk.tokens = reader.integer("tokens", 0, kMaxTokens);
    chunk.version = reader.maybe<std::int64_t>("version");
    reader.finish();
    return chunk;
  });
}

Json
encode(const core::Segment& segment)
{
  return { { "version", segment.version },
           { "from", segment.from },
           { "to", segment.to } };
}

template<>
Decoded<core::Segment>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    core::Segment segment;
    segment.version = reader.integer("version", 0, kMaxVersion);
    segment.from = reader.integer("from", 0, kMaxTokens);
    segment.to = reader.integer("to", segment.from, kMaxTokens);
    reader.finish();
    return segment;
  });
}

Json
encode(const core::Outcome& outcome)
{
  return { { "verdict", verdictName(outcome.verdict) },
           { "reason", outcome.reason },
           { "total", outcome.totalTokens },
           { "segments", encodeList(outcome.segments) },
           { "retry_after_ms", outcome.retryAfter.count() },
           { "http_status", outcome.httpStatus },
           { "content_type", outcome.contentType } };
}

template<>
Decoded<core::Outcome>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    core::Outcome outcome;
    outcome.verdict = named(reader, "verdict", kVerdicts);
    outcome.reason = reader.required<std::string>("reason");
    outcome.totalTokens = reader.integer("total", 0, kMaxTokens);
    outcome.segments = readList<core::Segment>(reader, "segments");
    outcome.retryAfter = readMillis(reader, "retry_after_ms");
    outcome.httpStatus =
      static_cast<int>(reader.integerOr("http_status", 0, 999, 0));
    outcome.contentType = reader.optional<std::string>("content_type", "");
    reader.finish();
    return outcome;
  });
}

Json
encode(const core::Work& work)
{
  Json json{ { "type", nameOf(kWorkTypes, work.type) },
             { "principal", work.principal },
             { "kind", work.kind },
             { "target", work.target },
             { "idempotent", work.idempotent },
             { "prompt", work.prompt },
             { "max_tokens", work.maxTokens },
             { "offset", work.offset },
             { "prefix", work.prefix } };
  if (work.version) {
    json["version"] = *work.version;
  }
  if (work.type == core::WorkType::Call) {
    json["call"] = encodeCall(work.call);
  }
  return json;
}

template<>
Decoded<core::Work>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    core::Work work;
    work.type = named(reader, "type", kWorkTypes);
    work.principal = reader.required<std::string>("principal");
    work.kind = reader.required<std::string>("kind");
    work.target = reader.required<std::string>("target");
    work.idempotent = reader.required<bool>("idempotent");
    work.prompt = reader.required<std::string>("prompt");
    work.maxTokens = reader.integer("max_tokens", 0, kMaxTokens);
    work.offset = reader.integer("offset", 0, kMaxTokens);
    work.prefix = reader.required<std::string>("prefix");
    work.version = reader.maybe<std::int64_t>("version");
    if (const Json* call = reader.find("call")) {
      work.call = readCall(*call);
    }
    reader.finish();
    return work;
  });
}

Json
encode(const core::Member& member)
{
  Json json{ { "id", encodeProcess(member.id) },
             { "role", nameOf(kRoles, member.role) },
             { "failure_domain", member.failureDomain },
             { "link", member.link.text() },
             { "state", nameOf(kStates, member.state) },
             { "table_revision", member.tableRevision },
             { "report", member.reportNumber },
             { "in_flight", member.inFlight },
             { "weight_cache", member.hasWeightCache },
             { "load", encodeLoad(member.load) } };
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
    member.id = readProcess(reader, "id");
    member.role = named(reader, "role", kRoles);
    member.failureDomain = reader.required<std::string>("failure_domain");
    member.link = readEndpoint(reader, "link");
    member.state = named(reader, "state", kStates);
    member.tableRevision = reader.integer("table_revision", 0, kMaxVersion);
    member.reportNumber = reader.required<std::uint64_t>("report");
    member.inFlight = reader.integer("in_flight", 0, kMaxVersion);
    member.hasWeightCache = reader.optional<bool>("weight_cache", false);
    member.load = readLoad(reader);
    if (reader.find("http") != nullptr) {
      member.http = readEndpoint(reader, "http");
    }
    reader.finish();
    return member;
  });
}

Json
encode(const DispatchRequest& request)
{
  return { { "request", request.attempt.request },
           { "number", request.attempt.number },
           { "dispatcher", encodeProcess(request.dispatcher) },
           { "work", encode(request.work) },
           { "remaining_ms", request.remaining.count() } };
}

template<>
Decoded<DispatchRequest>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    DispatchRequest request;
    request.attempt.request = reader.required<std::string>("request");
    request.attempt.number =
      static_cast<std::uint32_t>(reader.integer("number", 1, 1'000'000));
    request.dispatcher = readProcess(reader, "dispatcher");
    request.work = unwrap(decode<core::Work>(reader.required<Json>("work")));
    request.remaining = readMillis(reader, "remaining_ms");
    reader.finish();
    return request;
  });
}

Json
encode(const BarRequest& request)
{
  return { { "request", request.request },
           { "dispatcher", encodeProcess(request.dispatcher) } };
}

template<>
Decoded<BarRequest>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    BarRequest request;
    request.request = reader.required<std::string>("request");
    request.dispatcher = readProcess(reader, "dispatcher");
    reader.finish();
    return request;
  });
}

Json
encode(const BarReply& reply)
{
  Json json{ { "state", nameOf(kBarStates, reply.state) } };
  if (reply.outcome) {
    json["outcome"] = encode(*reply.outcome);
  }
  return json;
}

template<>
Decoded<BarReply>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    BarReply reply;
    reply.state = named(reader, "state", kBarStates);
    if (const Json* outcome = reader.find("outcome")) {
      reply.outcome = unwrap(decode<core::Outcome>(*outcome));
    }
    reader.finish();
    return reply;
  });
}

Json
encode(const RelayRequest& request)
{
  return { { "request", request.request },
           { "home", encodeProcess(request.home) },
           { "work", encode(request.work) },
           { "remaining_ms", request.remaining.count() } };
}

template<>
Decoded<RelayRequest>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    RelayRequest request;
    request.request = reader.required<std::string>("request");
    request.home = readProcess(reader, "home");
    request.work = unwrap(decode<core::Work>(reader.required<Json>("work")));
    request.remaining = readMillis(reader, "remaining_ms");
    reader.finish();
    return request;
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
    ping.sender = unwrap(decode<core::Member>(reader.required<Json>("sender")));
    ping.updates = readList<core::Member>(reader, "updates");
    reader.finish();
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
    reader.finish();
    return request;
  });
}

} // namespace lentilrack::wire
