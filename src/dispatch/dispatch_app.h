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
  /// Scheduling policy: "default" or "baseline".
  std::string policy = "default";
  core::SchedulerOptions scheduler;
  ServerMonitorOptions monitor;
};

/// Builds and connects the components of lentilrack-dispatch on top of a node.
class DispatchApp
{
public:
  /// Adds link handlers, metrics and status reports to the node, which must not
  /// have started yet.
  DispatchApp(node::Node& node, DispatchOptions options);

  /// Starts monitoring, scheduling and weight updates. Called once the node has
  /// joined the cluster.
  void start();
  /// Refuses new work and starts no further weight loads. Queued and running
  /// work continues.
  void drain();

  /// Returns the callbacks for node::runProcess().
  node::ProcessCallbacks hooks();

  /// Returns the servers that this dispatcher knows, with the endpoint, the
  /// weight versions and the number of running jobs of each. Weight updates
  /// call hold() and release() on the returned set.
  core::ServerSet& servers() { return mScheduler.servers(); }
  core::Scheduler& scheduler() { return mScheduler; }

private:
  /// Returns the dispatcher's state for the node's state dump.
  wire::Json dump() const;
  /// Adds the load report, the gauges and the state dump to the node.
  void addStatusAndMetrics();
  /// Creates the weight cache if there are a data directory and a weight store.
  void openWeightCache();
  WeightUpdaterHooks updaterHooks();
  std::vector<OwnedEngine> ownedEngines() const;
  std::vector<WeightCacheAddress> weightCaches() const;
  /// Tells an engine to load weights from `source`. Returns true if the engine
  /// confirmed that it has loaded them.
  net::Awaitable<bool> loadWeights(OwnedEngine engine,
                                   std::string model,
                                   std::int64_t version,
                                   core::Endpoint source);

  node::Node& mNode;
  core::Scheduler mScheduler;
  Fencing mFencing;
  ServerMonitor mServerMonitor;
  DispatchService mDispatchService;
  backends::EngineClient mEngineClient;
  std::shared_ptr<WeightUpdater> mWeightUpdater;
  /// Null without a data directory or a weight store.
  std::shared_ptr<WeightCache> mWeightCache;
};

} // namespace lentilrack::dispatch
