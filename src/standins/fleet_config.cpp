#include "standins/fleet_config.h"

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kMaxMillis = 3'600'000;
constexpr std::int64_t kMaxMicros = 60'000'000;
constexpr std::int64_t kMaxServers = 2'400;
constexpr std::int64_t kMaxTokens = 10'000'000;
constexpr std::int64_t kMaxItems = 1'000'000;
constexpr std::int64_t kMaxChunkBytes = 64L * 1024 * 1024;

core::Millis
millis(wire::ObjectReader& reader, const char* name, core::Millis fallback)
{
  return core::Millis(reader.integerOr(name, 0, kMaxMillis, fallback.count()));
}

Microseconds
micros(wire::ObjectReader& reader, const char* name, Microseconds fallback)
{
  return Microseconds(reader.integerOr(name, 0, kMaxMicros, fallback.count()));
}

/// Calls `read` with a reader of the object in the field `name`, if the field
/// is present. Unknown fields of the object are errors.
template<typename Function>
void
readSection(wire::ObjectReader& reader, const char* name, Function read)
{
  if (const auto* value = reader.findField(name)) {
    wire::ObjectReader inner(*value, name);
    read(inner);
    inner.rejectUnknownFields();
  }
}

/// Calls `read` with a reader of each object in the array `name`, if the array
/// is present. Unknown fields of the objects are errors.
template<typename Function>
void
readArray(wire::ObjectReader& reader, const char* name, Function read)
{
  const auto items = reader.optional<std::vector<wire::Json>>(name, {});
  for (std::size_t i = 0; i < items.size(); ++i) {
    wire::ObjectReader inner(items[i], name + ("[" + std::to_string(i) + "]"));
    read(inner);
    inner.rejectUnknownFields();
  }
}

EngineBatchOptions
readBatch(wire::ObjectReader& reader)
{
  EngineBatchOptions options;
  options.memoryTokens =
    reader.integerOr("memory_tokens", 0, kMaxTokens, options.memoryTokens);
  options.stepTime = micros(reader, "step_us", options.stepTime);
  if (options.stepTime <= Microseconds(0)) {
    reader.fail("step_us", "must be above 0");
  }
  options.stepTimePerRequest =
    micros(reader, "step_us_per_request", options.stepTimePerRequest);
  options.prefillTokensPerStep = reader.integerOr(
    "prefill_tokens_per_step", 1, kMaxTokens, options.prefillTokensPerStep);
  options.prefillTokensPerMilli =
    reader.optional("prefill_tokens_per_ms", options.prefillTokensPerMilli);
  if (options.prefillTokensPerMilli <= 0) {
    reader.fail("prefill_tokens_per_ms", "must be above 0");
  }
  options.tokensPerEvent =
    reader.integerOr("tokens_per_event", 1, kMaxTokens, options.tokensPerEvent);
  return options;
}

StandinGroup<EngineStandin::Options>
readEngines(wire::ObjectReader& reader)
{
  StandinGroup<EngineStandin::Options> group;
  auto& options = group.options;
  options.model = reader.required<std::string>("model");
  group.name = options.model;
  group.count = reader.integerOr("count", 0, kMaxServers, 1);
  options.slots = reader.integerOr("slots", 1, kMaxItems, options.slots);
  options.tokenRate = reader.optional("token_rate", options.tokenRate);
  if (options.tokenRate <= 0) {
    reader.fail("token_rate", "must be above 0");
  }
  options.checksFencing =
    reader.optional("checks_fencing", options.checksFencing);
  options.loadTime = millis(reader, "load_ms", options.loadTime);
  options.reportLag = millis(reader, "report_lag_ms", options.reportLag);
  options.prefillPerCharacter =
    micros(reader, "prefill_us_per_char", options.prefillPerCharacter);
  options.cachePrefixes =
    reader.integerOr("cache_prefixes", 0, kMaxItems, options.cachePrefixes);
  options.batch = readBatch(reader);
  return group;
}

StandinGroup<ServiceStandin::Options>
readServices(wire::ObjectReader& reader)
{
  StandinGroup<ServiceStandin::Options> group;
  group.name = reader.required<std::string>("name");
  group.count = reader.integerOr("count", 0, kMaxServers, 1);
  group.options.service = group.name;
  group.options.workTime = millis(reader, "work_ms", group.options.workTime);
  return group;
}

void
readWeights(wire::ObjectReader& reader, WeightStoreStandin::Options& options)
{
  options.models =
    reader.optional<std::map<std::string, std::int64_t>>("models", {});
  options.chunks = reader.integerOr("chunks", 1, kMaxItems, options.chunks);
  options.chunkBytes =
    reader.integerOr("chunk_bytes", 1, kMaxChunkBytes, options.chunkBytes);
  options.readsPerSecond =
    reader.integerOr("reads_per_second", 1, kMaxItems, options.readsPerSecond);
}

FleetConfig
readFleetConfig(wire::ObjectReader& reader)
{
  FleetConfig config;
  config.failureDomains =
    reader.optional("failure_domains", config.failureDomains);
  if (config.failureDomains.empty()) {
    reader.fail("failure_domains", "must not be empty");
  }
  config.networkDelay = micros(reader, "delay_us", config.networkDelay);
  readSection(reader, "kv", [&](wire::ObjectReader& kv) {
    config.kv.latency = millis(kv, "latency_ms", config.kv.latency);
  });
  readSection(reader, "instance_list", [&](wire::ObjectReader& listReader) {
    config.instanceList.lag =
      millis(listReader, "lag_ms", config.instanceList.lag);
  });
  readArray(reader, "engines", [&](wire::ObjectReader& group) {
    config.engines.push_back(readEngines(group));
  });
  readArray(reader, "services", [&](wire::ObjectReader& group) {
    config.services.push_back(readServices(group));
  });
  readSection(reader, "weights", [&](wire::ObjectReader& weights) {
    readWeights(weights, config.weights);
  });
  readSection(reader, "scorer", [&](wire::ObjectReader& scorer) {
    config.scorers.count = scorer.integerOr("count", 0, kMaxServers, 1);
    config.scorers.options.workTime =
      millis(scorer, "work_ms", config.scorers.options.workTime);
  });
  return config;
}

} // namespace

wire::Decoded<FleetConfig>
FleetConfig::parse(std::string_view text)
{
  return decodeBody(std::string(text), readFleetConfig);
}

} // namespace lentilrack::standins
