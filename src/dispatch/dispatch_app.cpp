#include "dispatch/dispatch_app.h"

#include <random>

namespace lentilrack::dispatch {

namespace {

core::SchedulerHooks
hooksOf(const std::string& policy)
{
  return policy == "baseline" ? core::baselineHooks() : core::defaultHooks();
}

pcg32
seededRandom()
{
  pcg_extras::seed_seq_from<std::random_device> seed;
  return pcg32(seed);
}

} // namespace

DispatchApp::DispatchApp(node::Node& node, DispatchOptions options)
  : mNode(node)
  , mScheduler(options.scheduler, hooksOf(options.policy), seededRandom())
  , mFencing(node.kv(), node.log().part("fencing"))
  , mMonitor(node, mScheduler, mFencing, options.monitor)
  , mService(node, mScheduler, mFencing, [this](const std::string& server) {
    mMonitor.raiseFencing(server);
  })
{
  mService.addHandlers(node.linkServer());
  mMonitor.keepOwned(
    [this] { return mService.draining() && !mService.inFlight().empty(); });
  node.setLoadReport([this] {
    return mService.draining() ? std::map<std::string, core::TargetLoad>{}
                               : mScheduler.load(core::Clock::now());
  });
  node.metrics().gauge("dispatch_queued", [this] {
    return static_cast<double>(mScheduler.queued());
  });
  node.metrics().gauge("dispatch_running", [this] {
    return static_cast<double>(mScheduler.running());
  });
  node.metrics().gauge("dispatch_ledger_records", [this] {
    return static_cast<double>(mScheduler.ledger().size());
  });
  node.addDump("dispatch", [this] { return dump(); });
}

void
DispatchApp::start()
{
  mMonitor.start([this] { mService.pump(); });
  net::spawn(mNode.io(), mService.tickLoop());
}

void
DispatchApp::drain()
{
  mService.drain();
}

node::ProcessHooks
DispatchApp::hooks()
{
  node::ProcessHooks hooks;
  hooks.started = [this] { start(); };
  hooks.drain = [this] { drain(); };
  hooks.inFlight = [this] { return mService.inFlight(); };
  return hooks;
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
        { "open", state->open(now) },
        { "versions", state->versions },
        { "share", mScheduler.health().share(state->server.id) },
        { "down", mScheduler.health().down(state->server.id) },
        { "fencing", mFencing.number(state->server.id) } });
  }
  return { { "servers", servers },
           { "queued", mScheduler.queued() },
           { "running", mScheduler.running() },
           { "jobs", mScheduler.describeJobs() } };
}

} // namespace lentilrack::dispatch
