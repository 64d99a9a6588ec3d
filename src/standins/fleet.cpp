#include "standins/fleet.h"

namespace lentilrack::standins {

namespace {

/// Returns the options with the network delay that all stand-ins share.
template<typename Options>
Options
withNetworkDelay(Options options, Microseconds networkDelay)
{
  options.networkDelay = networkDelay;
  return options;
}

/// Adds version 1 to the weight store for each model that has engines but no
/// version there, and returns the configuration.
FleetConfig
withAllModels(FleetConfig config)
{
  for (const auto& group : config.engines) {
    config.weights.models.try_emplace(group.options.model, 1);
  }
  return config;
}

template<typename Options>
std::string
identifier(const StandinGroup<Options>& group, std::int64_t index)
{
  return group.name + "-" + std::to_string(index + 1);
}

const char*
roleName(core::ServerRole role)
{
  switch (role) {
    case core::ServerRole::Engine:
      return "engine";
    case core::ServerRole::Service:
      return "service";
    default:
      return "scorer";
  }
}

} // namespace

Fleet::Fleet(net::asio::io_context& io, FleetConfig config)
  : mIo(io)
  , mConfig(withAllModels(std::move(config)))
  , mHttp(io)
  , mKv(io, withNetworkDelay(mConfig.kv, mConfig.networkDelay))
  , mInstanceList(io,
                  withNetworkDelay(mConfig.instanceList, mConfig.networkDelay))
  , mWeights(io, withNetworkDelay(mConfig.weights, mConfig.networkDelay))
{
  mKv.server().listen();
  mInstanceList.server().listen();
  mWeights.server().listen();
  for (const auto& group : mConfig.engines) {
    addEngines(group);
  }
  for (const auto& group : mConfig.services) {
    addServices(group);
  }
  addScorers(mConfig.scorers);
  mInstanceList.start();
}

void
Fleet::addEngines(const StandinGroup<EngineStandin::Options>& group)
{
  for (std::int64_t i = 0; i < group.count; ++i) {
    auto options = withNetworkDelay(group.options, mConfig.networkDelay);
    options.id = identifier(group, i);
    options.version = mConfig.weights.models.at(options.model);
    mEngines.push_back(std::make_unique<EngineStandin>(mIo, mHttp, options));
    core::BackendServer server;
    server.id = options.id;
    server.role = core::ServerRole::Engine;
    server.models = { options.model };
    server.slots = options.slots;
    server.checksFencing = options.checksFencing;
    addToInstanceList(std::move(server), mEngines.back()->server());
  }
}

void
Fleet::addServices(const StandinGroup<ServiceStandin::Options>& group)
{
  for (std::int64_t i = 0; i < group.count; ++i) {
    auto options = withNetworkDelay(group.options, mConfig.networkDelay);
    options.id = identifier(group, i);
    mServices.push_back(std::make_unique<ServiceStandin>(mIo, options));
    core::BackendServer server;
    server.id = options.id;
    server.role = core::ServerRole::Service;
    server.service = options.service;
    addToInstanceList(std::move(server), mServices.back()->server());
  }
}

void
Fleet::addScorers(const StandinGroup<ScorerStandin::Options>& group)
{
  for (std::int64_t i = 0; i < group.count; ++i) {
    auto options = withNetworkDelay(group.options, mConfig.networkDelay);
    options.id = identifier(group, i);
    mScorers.push_back(std::make_unique<ScorerStandin>(mIo, options));
    core::BackendServer server;
    server.id = options.id;
    server.role = core::ServerRole::Scorer;
    addToInstanceList(std::move(server), mScorers.back()->server());
  }
}

void
Fleet::addToInstanceList(core::BackendServer server, StandinServer& standin)
{
  const auto& domains = mConfig.failureDomains;
  server.endpoint = standin.listen();
  server.failureDomain = domains[mServers.size() % domains.size()];
  mServers.push_back(
    { { "id", server.id },
      { "role", roleName(server.role) },
      { "endpoint", server.endpoint.text() },
      { "failure_domain", server.failureDomain },
      { "model", server.models.empty() ? "" : server.models.front() } });
  mInstanceList.add(std::move(server), [&standin] { return standin.state(); });
  standin.onControlApplied([this] { mInstanceList.refresh(); });
}

wire::Json
Fleet::addresses() const
{
  return { { "kv", mKv.server().endpoint().text() },
           { "instance_list", mInstanceList.server().endpoint().text() },
           { "weights", mWeights.server().endpoint().text() },
           { "servers", mServers } };
}

} // namespace lentilrack::standins
