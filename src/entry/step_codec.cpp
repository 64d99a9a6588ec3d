#include "entry/step_codec.h"

#include <algorithm>

namespace lentilrack::entry {

using wire::Decoded;
using wire::Json;
using wire::ObjectReader;

namespace {

constexpr std::int64_t kMaxInteger = std::int64_t{ 1 } << 53;
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMaxWaitMs = 60'000;
constexpr std::size_t kMaxNameLength = 128;

bool
isNameCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::string
readStepName(ObjectReader& reader)
{
  auto name = reader.required<std::string>("step");
  const bool valid = !name.empty() && name.size() <= kMaxNameLength &&
                     std::ranges::all_of(name, isNameCharacter);
  if (!valid) {
    reader.fail("step", "must be 1 to 128 letters, digits, '.', '_' or '-'");
  }
  return name;
}

std::vector<core::Slot>
readReceivedSlots(ObjectReader& reader)
{
  const auto* field = reader.findField("have");
  if (field == nullptr) {
    reader.fail("have", "is missing");
  }
  if (!field->is_array()) {
    reader.fail("have", "must be an array");
  }
  std::vector<core::Slot> received;
  received.reserve(field->size());
  for (std::size_t i = 0; i < field->size(); ++i) {
    ObjectReader slot((*field)[i], "have[" + std::to_string(i) + "]");
    core::Slot value;
    value.group = slot.integer("group", 0, kMaxInteger);
    value.index = slot.integer("index", 0, kMaxInteger);
    slot.rejectUnknownFields();
    received.push_back(value);
  }
  return received;
}

std::vector<std::string>
readPrompts(ObjectReader& reader)
{
  const auto* field = reader.findField("prompts");
  const bool valid =
    field != nullptr && field->is_array() && !field->empty() &&
    std::ranges::all_of(*field, [](const Json& p) { return p.is_string(); });
  if (!valid) {
    reader.fail("prompts", "must be an array of at least one string");
  }
  return field->get<std::vector<std::string>>();
}

OpenStepRequest
readOpenStep(const Json& json)
{
  ObjectReader reader(json);
  OpenStepRequest request;
  request.spec.name = readStepName(reader);
  request.opening = reader.integer("opening", 1, kMaxInteger);
  request.spec.model = reader.required<std::string>("model");
  request.spec.kind = reader.required<std::string>("kind");
  request.spec.prompts = readPrompts(reader);
  request.spec.groupSize = reader.integer("group_size", 1, kMaxTokens);
  request.spec.quorum = reader.integer("quorum", 1, kMaxTokens);
  request.spec.maxTokens = reader.integer("max_tokens", 1, kMaxTokens);
  request.received = readReceivedSlots(reader);
  request.version = reader.integer("version", 0, kMaxInteger);
  reader.rejectUnknownFields();
  return request;
}

template<typename Function>
auto
decodeBody(const std::string& body, Function read)
  -> Decoded<decltype(read(Json()))>
{
  auto json = wire::parseJson(body);
  if (!json) {
    return json.error();
  }
  return wire::decodeWith([&] { return read(json.value()); });
}

Json
encodeSample(const core::Sample& sample)
{
  auto segments = Json::array();
  for (const auto& segment : sample.segments) {
    segments.push_back({ { "version", segment.version },
                         { "from", segment.from },
                         { "to", segment.to } });
  }
  return { { "group", sample.slot.group }, { "index", sample.slot.index },
           { "text", sample.text },        { "tokens", sample.tokens },
           { "score", sample.score },      { "segments", segments } };
}

} // namespace

Decoded<OpenStepRequest>
decodeOpenStep(const std::string& body)
{
  return decodeBody(body, readOpenStep);
}

Decoded<PullRequest>
decodePull(const std::string& body)
{
  return decodeBody(body, [](const Json& json) {
    ObjectReader reader(json);
    PullRequest request;
    request.opening = reader.integer("opening", 1, kMaxInteger);
    request.received = readReceivedSlots(reader);
    request.version = reader.integer("version", 0, kMaxInteger);
    request.wait = core::Millis(reader.integer("wait_ms", 0, kMaxWaitMs));
    reader.rejectUnknownFields();
    return request;
  });
}

Decoded<AckRequest>
decodeAck(const std::string& body)
{
  return decodeBody(body, [](const Json& json) {
    ObjectReader reader(json);
    AckRequest request;
    request.opening = reader.integer("opening", 1, kMaxInteger);
    request.received = readReceivedSlots(reader);
    reader.rejectUnknownFields();
    return request;
  });
}

Json
encodePullResponse(std::int64_t opening,
                   const core::PulledSamples& pulledSamples,
                   std::int64_t droppedStale)
{
  auto samples = Json::array();
  std::ranges::transform(
    pulledSamples.samples, std::back_inserter(samples), encodeSample);
  return { { "opening", opening },
           { "samples", std::move(samples) },
           { "complete", pulledSamples.complete },
           { "dropped_stale", droppedStale } };
}

const char*
errorCodeName(core::StepErrorCode code)
{
  switch (code) {
    case core::StepErrorCode::OldOpening:
      return "old_opening";
    case core::StepErrorCode::UnknownOpening:
      return "unknown_opening";
    case core::StepErrorCode::DifferentStep:
      return "different_step";
    case core::StepErrorCode::NeverSent:
      return "never_sent";
    case core::StepErrorCode::BadInput:
      break;
  }
  return "bad_input";
}

int
httpStatus(core::StepErrorCode code)
{
  return code == core::StepErrorCode::BadInput ? 400 : 409;
}

} // namespace lentilrack::entry
