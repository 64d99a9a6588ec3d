#pragma once

#include "backends/engine_client.h"
#include "core/scheduler.h"
#include "dispatch/dispatch_service.h"
#include "dispatch/fencing.h"
#include "dispatch/server_monitor.h"
#include "dispatch/weight_cache.h"
#include "dispatch/weight_updater.h"
#include "node/node.h"
#include "node/process.h"

#include <string>

namespace lentilrack::dispatch {

struct DispatchOptions
{
  /// "default" or "baseline".
  std::string policy = "default";
  core::SchedulerOptions scheduler;
  ServerMonitorOptions monitor;
};

/// The parts of lentilrack-dispatch over a node.
class DispatchApp
{
public:
  /// Adds link handlers and reports to the node, which must not have started.
  DispatchApp(node::Node& node, DispatchOptions options);

  /// Called once the node has joined.
  void start();
  /// Refuses new work; what runs or waits goes on.
  void drain();

  node::ProcessHooks hooks();

  /// The owned servers: endpoints, models, versions, running counts, hold()
  /// and release(). This is what weight updates work on.
  core::ServerSet& servers() { return mScheduler.servers(); }
  core::Scheduler& scheduler() { return mScheduler; }

private:
  wire::Json dump() const;
  void addReports();
  void openWeightCache();
  WeightUpdaterHooks updaterHooks();
  std::vector<OwnedEngine> ownedEngines() const;
  std::vector<WeightCacheAddress> weightCaches() const;
  net::Awaitable<bool> load(OwnedEngine engine,
                            std::string model,
                            std::int64_t version,
                            core::Endpoint source);

  node::Node& mNode;
  core::Scheduler mScheduler;
  Fencing mFencing;
  ServerMonitor mMonitor;
  DispatchService mService;
  backends::EngineClient mEngines;
  std::shared_ptr<WeightUpdater> mUpdater;
  /// Null without a data directory.
  std::shared_ptr<WeightCache> mCache;
};

} // namespace lentilrack::dispatch
