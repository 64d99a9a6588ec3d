#include "wire/codec_helpers.h"

namespace lentilrack::wire {

namespace {

constexpr EnumNames<core::Verdict, 3> kVerdicts{ {
  { core::Verdict::Done, "done" },
  { core::Verdict::NotRun, "not_run" },
  { core::Verdict::Unknown, "unknown" },
} };
constexpr EnumNames<core::WorkType, 3> kWorkTypes{ {
  { core::WorkType::Order, "order" },
  { core::WorkType::Call, "call" },
  { core::WorkType::Rollout, "rollout" },
} };
constexpr EnumNames<BarState, 3> kBarStates{ {
  { BarState::Barred, "barred" },
  { BarState::Started, "started" },
  { BarState::Finished, "finished" },
} };

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
  reader.rejectUnknownFields();
  return call;
}

} // namespace

std::string
verdictName(core::Verdict verdict)
{
  return enumName(kVerdicts, verdict);
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
    chunk.version = reader.findValue<std::int64_t>("version");
    reader.rejectUnknownFields();
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
    reader.rejectUnknownFields();
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
    outcome.verdict = readEnum(reader, "verdict", kVerdicts);
    outcome.reason = reader.required<std::string>("reason");
    outcome.totalTokens = reader.integer("total", 0, kMaxTokens);
    outcome.segments = readList<core::Segment>(reader, "segments");
    outcome.retryAfter = readMillis(reader, "retry_after_ms");
    outcome.httpStatus =
      static_cast<int>(reader.integerOr("http_status", 0, 999, 0));
    outcome.contentType = reader.optional<std::string>("content_type", "");
    reader.rejectUnknownFields();
    return outcome;
  });
}

Json
encode(const core::Work& work)
{
  Json json{ { "type", enumName(kWorkTypes, work.type) },
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
    work.type = readEnum(reader, "type", kWorkTypes);
    work.principal = reader.required<std::string>("principal");
    work.kind = reader.required<std::string>("kind");
    work.target = reader.required<std::string>("target");
    work.idempotent = reader.required<bool>("idempotent");
    work.prompt = reader.required<std::string>("prompt");
    work.maxTokens = reader.integer("max_tokens", 0, kMaxTokens);
    work.offset = reader.integer("offset", 0, kMaxTokens);
    work.prefix = reader.required<std::string>("prefix");
    work.version = reader.findValue<std::int64_t>("version");
    if (const Json* call = reader.findField("call")) {
      work.call = readCall(*call);
    }
    reader.rejectUnknownFields();
    return work;
  });
}

Json
encode(const DispatchRequest& request)
{
  return { { "request", request.attempt.request },
           { "number", request.attempt.number },
           { "dispatcher", encodeProcessId(request.dispatcher) },
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
    request.dispatcher = readProcessId(reader, "dispatcher");
    request.work =
      valueOrThrow(decode<core::Work>(reader.required<Json>("work")));
    request.remaining = readMillis(reader, "remaining_ms");
    reader.rejectUnknownFields();
    return request;
  });
}

Json
encode(const DispatchReply& reply)
{
  Json json{ { "outcome", encode(reply.outcome) } };
  if (reply.load) {
    json["load"] = encodeTargetLoad(*reply.load);
  }
  return json;
}

template<>
Decoded<DispatchReply>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    DispatchReply reply;
    reply.outcome =
      valueOrThrow(decode<core::Outcome>(reader.required<Json>("outcome")));
    if (const Json* load = reader.findField("load")) {
      reply.load = readTargetLoad(reader, *load);
    }
    reader.rejectUnknownFields();
    return reply;
  });
}

Json
encode(const BarRequest& request)
{
  return { { "request", request.request },
           { "dispatcher", encodeProcessId(request.dispatcher) } };
}

template<>
Decoded<BarRequest>
decode(const Json& json)
{
  return decodeWith([&] {
    ObjectReader reader(json);
    BarRequest request;
    request.request = reader.required<std::string>("request");
    request.dispatcher = readProcessId(reader, "dispatcher");
    reader.rejectUnknownFields();
    return request;
  });
}

Json
encode(const BarReply& reply)
{
  Json json{ { "state", enumName(kBarStates, reply.state) } };
  if (reply.outcome) {
    json["outcome"] = encode(*reply.outcome);
  }
  if (!reply.answer.empty()) {
    json["answer"] = encodeList(reply.answer);
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
    reply.state = readEnum(reader, "state", kBarStates);
    if (const Json* outcome = reader.findField("outcome")) {
      reply.outcome = valueOrThrow(decode<core::Outcome>(*outcome));
    }
    reply.answer = readList<core::Chunk>(reader, "answer");
    reader.rejectUnknownFields();
    return reply;
  });
}

Json
encode(const RelayRequest& request)
{
  return { { "request", request.request },
           { "home", encodeProcessId(request.home) },
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
    request.home = readProcessId(reader, "home");
    request.work =
      valueOrThrow(decode<core::Work>(reader.required<Json>("work")));
    request.remaining = readMillis(reader, "remaining_ms");
    reader.rejectUnknownFields();
    return request;
  });
}

} // namespace lentilrack::wire
