#include "dispatch/dispatch_app.h"

#include <random>

namespace lentilrack::dispatch {

namespace {

constexpr core::Millis kLoadTimeout{ 60'000 };

core::SchedulerHooks
schedulerHooks(const std::string& policy)
{
  return policy == "baseline" ? core::baselineHooks() : core::defaultHooks();
}

pcg32
seededRandom()
{
  pcg_extras::seed_seq_from<std::random_device> seed;
  return pcg32(seed);
}

WeightUpdaterOptions
updaterOptions(const node::Node& node, const std::string& policy)
{
  WeightUpdaterOptions options;
  options.store = node.settings().weightStore;
  options.failureDomain = node.settings().failureDomain;
  if (policy == "baseline") {
    options.policy = core::baselineWeightRolloutPolicy();
  }
  return options;
}

} // namespace

DispatchApp::DispatchApp(node::Node& node, DispatchOptions options)
  : mNode(node)
  , mScheduler(options.scheduler,
               schedulerHooks(options.policy),
               seededRandom())
  , mFencing(node.kv(), node.log().child("fencing"))
  , mServerMonitor(node, mScheduler, mFencing, options.monitor)
  , mDispatchService(node,
                     mScheduler,
                     mFencing,
                     [this](const std::string& server) {
                       mServerMonitor.raiseFencing(server);
                     })
  , mEngineClient(node.http(), rateHook(mScheduler))
  , mWeightUpdater(
      std::make_shared<WeightUpdater>(node.io(),
                                      node.http(),
                                      node.metrics(),
                                      node.log().child("weights"),
                                      updaterOptions(node, options.policy),
                                      updaterHooks()))
{
  mDispatchService.addHandlers(node.linkServer());
  openWeightCache();
  mServerMonitor.retainServersWhile([this] {
    return mDispatchService.isDraining() &&
           !mDispatchService.inFlight().empty();
  });
  addStatusAndMetrics();
}

void
DispatchApp::openWeightCache()
{
  const auto& settings = mNode.settings();
  if (settings.dataDirectory.empty() || settings.weightStore.port == 0) {
    return;
  }
  WeightCacheOptions options;
  options.store = settings.weightStore;
  options.directory = settings.dataDirectory + "/weights";
  options.backoff = core::loadBackoff;
  mWeightCache = std::make_shared<WeightCache>(mNode.io(),
                                               mNode.http(),
                                               mNode.metrics(),
                                               mNode.log().child("cache"),
                                               options);
  mNode.members().self().hasWeightCache = mWeightCache->open();
  if (!mNode.members().self().hasWeightCache) {
    mNode.log().warning(
      "This dispatcher does not offer its weight cache to engines.");
  }
  mWeightCache->addRoutes(mNode.router());
}

void
DispatchApp::addStatusAndMetrics()
{
  auto& node = mNode;
  node.setLoadProvider([this] {
    return mDispatchService.isDraining()
             ? std::map<std::string, core::TargetLoad>{}
             : mScheduler.load(core::Clock::now());
  });
  node.metrics().addGauge("dispatch_queued", [this] {
    return static_cast<double>(mScheduler.queued());
  });
  node.metrics().addGauge("dispatch_running", [this] {
    return static_cast<double>(mScheduler.running());
  });
  node.metrics().addGauge("dispatch_ledger_records", [this] {
    return static_cast<double>(mScheduler.ledger().size());
  });
  node.addDumpSection("dispatch", [this] { return dump(); });
}

void
DispatchApp::start()
{
  mServerMonitor.start([this] { mDispatchService.runScheduler(); });
  net::spawn(mNode.io(), mDispatchService.schedulerLoop());
  if (mNode.settings().weightStore.port != 0) {
    mWeightUpdater->begin();
  }
}

void
DispatchApp::drain()
{
  mWeightUpdater->stop();
  mDispatchService.drain();
}

node::ProcessCallbacks
DispatchApp::hooks()
{
  node::ProcessCallbacks hooks;
  hooks.onStarted = [this] { start(); };
  hooks.onDrain = [this] { drain(); };
  hooks.listInFlight = [this] { return mDispatchService.inFlight(); };
  return hooks;
}

WeightUpdaterHooks
DispatchApp::updaterHooks()
{
  WeightUpdaterHooks hooks;
  hooks.listOwnedEngines = [this] { return ownedEngines(); };
  hooks.listCaches = [this] { return weightCaches(); };
  hooks.hold = [this](const std::string& server) { servers().hold(server); };
  hooks.release = [this](const std::string& server) {
    servers().release(server);
    mDispatchService.runScheduler();
  };
  hooks.loadWeights = [this](OwnedEngine engine,
                             std::string model,
                             std::int64_t version,
                             core::Endpoint source) {
    return loadWeights(
      std::move(engine), std::move(model), version, std::move(source));
  };
  return hooks;
}

std::vector<OwnedEngine>
DispatchApp::ownedEngines() const
{
  std::vector<OwnedEngine> engines;
  for (const auto* state : mScheduler.servers().ownedEngines()) {
    OwnedEngine engine;
    engine.server = { state->server.id,
                      state->server.models,
                      state->versions,
                      state->running,
                      state->server.slots };
    engine.endpoint = state->server.endpoint;
    engine.failureDomain = state->server.failureDomain;
    engines.push_back(std::move(engine));
  }
  return engines;
}

std::vector<WeightCacheAddress>
DispatchApp::weightCaches() const
{
  std::vector<WeightCacheAddress> caches;
  for (const auto& member :
       mNode.members().liveMembers(core::MemberRole::Dispatch)) {
    if (member.hasWeightCache && member.http) {
      caches.push_back({ member.id.name, member.failureDomain, *member.http });
    }
  }
  return caches;
}

net::Awaitable<bool>
DispatchApp::loadWeights(OwnedEngine engine,
                         std::string model,
                         std::int64_t version,
                         core::Endpoint source)
{
  if (!servers().takePermit(engine.endpoint, core::Clock::now())) {
    co_return false;
  }
  const auto error = co_await mEngineClient.load(
    engine.endpoint, model, version, std::move(source), kLoadTimeout);
  if (!error) {
    servers().setVersion(engine.server.id, model, version, core::Clock::now());
  }
  co_return !error;
}

wire::Json
DispatchApp::dump() const
{
  const auto now = core::Clock::now();
  wire::Json servers = wire::Json::array();
  for (const auto* state : mScheduler.servers().owned()) {
    servers.push_back(
      { { "id", state->server.id },
        { "running", state->running },
        { "running_long", state->runningLong },
        { "limit", state->limit() },
        { "open", state->isOpen(now) },
        { "versions", state->versions },
        { "share", mScheduler.health().share(state->server.id) },
        { "down", mScheduler.health().isDown(state->server.id) },
        { "fencing", mFencing.number(state->server.id) } });
  }
  return { { "servers", servers },
           { "queued", mScheduler.queued() },
           { "running", mScheduler.running() },
           { "jobs", mScheduler.describeJobs() } };
}

} // namespace lentilrack::dispatch
