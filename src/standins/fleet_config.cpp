#include "standins/fleet_config.h"

namespace lentilrack::standins {

namespace {

constexpr std::int64_t kLongestMs = 3'600'000;
constexpr std::int64_t kLongestUs = 60'000'000;
constexpr std::int64_t kMostServers = 2'400;
constexpr std::int64_t kMostItems = 1'000'000;
constexpr std::int64_t kMostChunkBytes = 64L * 1024 * 1024;

core::Millis
millis(wire::ObjectReader& reader, const char* name, core::Millis fallback)
{
  return core::Millis(reader.integerOr(name, 0, kLongestMs, fallback.count()));
}

Microseconds
micros(wire::ObjectReader& reader, const char* name, Microseconds fallback)
{
  return Microseconds(reader.integerOr(name, 0, kLongestUs, fallback.count()));
}

/// Calls `read` with the object `name` if it is there.
template<typename Function>
void
section(wire::ObjectReader& reader, const char* name, Function read)
{
  if (const auto* value = reader.findField(name)) {
    wire::ObjectReader inner(*value, name);
    read(inner);
    inner.rejectUnknownFields();
  }
}

/// Calls `read` with each object of the array `name`, if it is there.
template<typename Function>
void
each(wire::ObjectReader& reader, const char* name, Function read)
{
  const auto items = reader.optional<std::vector<wire::Json>>(name, {});
  for (std::size_t i = 0; i < items.size(); ++i) {
    wire::ObjectReader inner(items[i], name + ("[" + std::to_string(i) + "]"));
    read(inner);
    inner.rejectUnknownFields();
  }
}

Group<EngineStandin::Options>
readEngines(wire::ObjectReader& reader)
{
  Group<EngineStandin::Options> group;
  auto& options = group.options;
  options.model = reader.required<std::string>("model");
  group.name = options.model;
  group.count = reader.integerOr("count", 0, kMostServers, 1);
  options.slots = reader.integerOr("slots", 1, kMostItems, options.slots);
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
    reader.integerOr("cache_prefixes", 0, kMostItems, options.cachePrefixes);
  return group;
}

Group<ServiceStandin::Options>
readServices(wire::ObjectReader& reader)
{
  Group<ServiceStandin::Options> group;
  group.name = reader.required<std::string>("name");
  group.count = reader.integerOr("count", 0, kMostServers, 1);
  group.options.service = group.name;
  group.options.workTime = millis(reader, "work_ms", group.options.workTime);
  return group;
}

void
readWeights(wire::ObjectReader& reader, WeightStoreStandin::Options& options)
{
  options.models =
    reader.optional<std::map<std::string, std::int64_t>>("models", {});
  options.chunks = reader.integerOr("chunks", 1, kMostItems, options.chunks);
  options.chunkBytes =
    reader.integerOr("chunk_bytes", 1, kMostChunkBytes, options.chunkBytes);
  options.readsPerSecond =
    reader.integerOr("reads_per_second", 1, kMostItems, options.readsPerSecond);
}

FleetConfig
readFleet(wire::ObjectReader& reader)
{
  FleetConfig config;
  config.failureDomains =
    reader.optional("failure_domains", config.failureDomains);
  if (config.failureDomains.empty()) {
    reader.fail("failure_domains", "must not be empty");
  }
  config.delay = micros(reader, "delay_us", config.delay);
  section(reader, "kv", [&](wire::ObjectReader& kv) {
    config.kv.latency = millis(kv, "latency_ms", config.kv.latency);
  });
  section(reader, "instance_list", [&](wire::ObjectReader& list) {
    config.instanceList.lag = millis(list, "lag_ms", config.instanceList.lag);
  });
  each(reader, "engines", [&](wire::ObjectReader& group) {
    config.engines.push_back(readEngines(group));
  });
  each(reader, "services", [&](wire::ObjectReader& group) {
    config.services.push_back(readServices(group));
  });
  section(reader, "weights", [&](wire::ObjectReader& weights) {
    readWeights(weights, config.weights);
  });
  section(reader, "scorer", [&](wire::ObjectReader& scorer) {
    config.scorers.count = scorer.integerOr("count", 0, kMostServers, 1);
    config.scorers.options.workTime =
      millis(scorer, "work_ms", config.scorers.options.workTime);
  });
  return config;
}

} // namespace

wire::Decoded<FleetConfig>
FleetConfig::parse(std::string_view text)
{
  return decodeBody(std::string(text), readFleet);
}

} // namespace lentilrack::standins
