#pragma once

#include "standins/fleet_config.h"

#include <memory>

namespace lentilrack::standins {

/// All stand-ins of one process.
class Fleet
{
public:
  /// Starts them; throws std::runtime_error if an address cannot be bound.
  Fleet(net::asio::io_context& io, FleetConfig config);

  KvStandin& kv() { return mKv; }
  InstanceListStandin& instanceList() { return mInstanceList; }
  WeightStoreStandin& weights() { return mWeights; }
  std::vector<std::unique_ptr<EngineStandin>>& engines() { return mEngines; }
  std::vector<std::unique_ptr<ServiceStandin>>& services() { return mServices; }
  std::vector<std::unique_ptr<ScorerStandin>>& scorers() { return mScorers; }

  /// Content of the address file.
  wire::Json addresses() const;

private:
  void addEngines(const StandinGroup<EngineStandin::Options>& group);
  void addServices(const StandinGroup<ServiceStandin::Options>& group);
  void addScorers(const StandinGroup<ScorerStandin::Options>& group);
  /// Lists a started stand-in and puts it into the next failure domain.
  void addToInstanceList(core::BackendServer server, StandinServer& standin);

  net::asio::io_context& mIo;
  FleetConfig mConfig;
  net::HttpClient mHttp;
  KvStandin mKv;
  InstanceListStandin mInstanceList;
  WeightStoreStandin mWeights;
  std::vector<std::unique_ptr<EngineStandin>> mEngines;
  std::vector<std::unique_ptr<ServiceStandin>> mServices;
  std::vector<std::unique_ptr<ScorerStandin>> mScorers;
  wire::Json mServers = wire::Json::array();
};

} // namespace lentilrack::standins
