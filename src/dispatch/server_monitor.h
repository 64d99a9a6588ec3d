#pragma once

#include "backends/engine_client.h"
#include "core/scheduler.h"
#include "dispatch/fencing.h"
#include "node/node.h"

#include <functional>
#include <set>
#include <string>

namespace lentilrack::dispatch {

struct ServerMonitorOptions
{
  /// Between two load reports of one engine. Below the 3 s within which a
  /// leaving server must get no more work.
  core::Millis reportPeriod{ 1000 };
  core::Millis cacheEventPeriod{ 2000 };
  /// Between two checks of the live dispatchers.
  core::Millis ownershipPeriod{ 250 };
  /// Between two attempts to raise a fencing number.
  core::Millis fencingRetryInterval{ 2000 };
};

/// Follows the instance list, the live dispatchers and the load reports and
/// cache events of the owned engines, and tells the scheduler.
class ServerMonitor
{
public:
  ServerMonitor(node::Node& node,
                core::Scheduler& scheduler,
                Fencing& fencing,
                ServerMonitorOptions options = {});

  /// Starts to follow. `onChange` is called when new work may be possible.
  void start(std::function<void()> onChange);
  /// Keeps the present servers while this process drains, so that queued work
  /// can still run here. The new owners begin with small windows.
  void retainServersWhile(std::function<bool()> retain)
  {
    mRetainServers = std::move(retain);
  }
  /// A server refused the fencing number.
  void raiseFencing(const std::string& server);

private:
  void applyServerList();
  void startMonitoring();
  net::Awaitable<void> ownershipLoop();
  net::Awaitable<void> monitorServer(std::string server);
  net::Awaitable<void> pollLoadReport(std::string server);
  net::Awaitable<void> pollCacheEvents(std::string server);
  net::Awaitable<void> raiseFencingWithRetry(std::string server);

  node::Node& mNode;
  core::Scheduler& mScheduler;
  Fencing& mFencing;
  ServerMonitorOptions mOptions;
  backends::EngineClient mEngines;
  std::function<void()> mOnChange;
  std::function<bool()> mRetainServers;
  /// Names of the live dispatchers at the last evaluation.
  std::set<std::string> mDispatchers;
  std::set<std::string> mMonitored;
  /// Servers whose last load report failed.
  std::set<std::string> mUnresponsive;
  std::set<std::string> mRaisingFencing;
};

} // namespace lentilrack::dispatch
