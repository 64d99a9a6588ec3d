#pragma once

#include "standins/fleet_config.h"

#include <memory>

namespace lentilrack::standins {

/// All stand-ins of one process, and the instance list that names them.
class Fleet
{
public:
  /// Starts the stand-ins; throws std::runtime_error if a port cannot be bound.
  Fleet(net::asio::io_context& io, FleetConfig config);

  KvStandin& kv() { return mKv; }
  InstanceListStandin& instanceList() { return mInstanceList; }
  WeightStoreStandin& weights() { return mWeights; }
  std::vector<std::unique_ptr<EngineStandin>>& engines() { return mEngines; }
  std::vector<std::unique_ptr<ServiceStandin>>& services() { return mServices; }
  std::vector<std::unique_ptr<ScorerStandin>>& scorers() { return mScorers; }

  /// Returns the addresses of all stand-ins, in the format of the address file.
  wire::Json addresses() const;

private:
  void addEngines(const StandinGroup<EngineStandin::Options>& group);
  void addServices(const StandinGroup<ServiceStandin::Options>& group);
  void addScorers(const StandinGroup<ScorerStandin::Options>& group);
  /// Starts a stand-in, gives it the next failure domain in turn and adds it to
  /// the instance list.
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
