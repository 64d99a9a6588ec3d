#pragma once

#include "standins/engine_standin.h"
#include "standins/instance_list_standin.h"
#include "standins/kv_standin.h"
#include "standins/scorer_standin.h"
#include "standins/service_standin.h"
#include "standins/weight_store_standin.h"

#include <string>
#include <vector>

namespace lentilrack::standins {

/// A number of identical stand-ins, with the identifiers `name`-1, `name`-2
/// and so on.
template<typename Options>
struct StandinGroup
{
  std::string name;
  std::int64_t count = 1;
  Options options;
};

/// Configuration of all stand-ins of a process. Every field has a default.
struct FleetConfig
{
  std::vector<std::string> failureDomains{ "etna", "siracusa", "messina" };
  /// Simulated one-way network delay of all stand-ins.
  Microseconds networkDelay{ 500 };
  KvStandin::Options kv;
  InstanceListStandin::Options instanceList;
  std::vector<StandinGroup<EngineStandin::Options>> engines;
  std::vector<StandinGroup<ServiceStandin::Options>> services;
  WeightStoreStandin::Options weights;
  StandinGroup<ScorerStandin::Options> scorers{ "scorer", 1, {} };

  /// Parses the JSON configuration. Returns an error for an unknown field, so
  /// that a misspelt one is noticed.
  static wire::Decoded<FleetConfig> parse(std::string_view text);
};

} // namespace lentilrack::standins
