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
  core::Millis cachePeriod{ 2000 };
  /// Between two checks of the live dispatchers.
  core::Millis ownershipPeriod{ 250 };
  /// Between two attempts to raise a fencing number.
  core::Millis fencingRetry{ 2000 };
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

  /// Starts to follow. `changed` is called when new work may be possible.
  void start(std::function<void()> changed);
  /// Keeps the present servers while this process drains, so that queued work
  /// can still run here. The new owners begin with small windows.
  void keepOwned(std::function<bool()> keep) { mKeepOwned = std::move(keep); }
  /// A server refused the fencing number.
  void raiseFencing(const std::string& server);

private:
  void applyList();
  void followServers();
  net::Awaitable<void> ownershipLoop();
  net::Awaitable<void> follow(std::string server);
  net::Awaitable<void> pollReport(std::string server);
  net::Awaitable<void> pollCache(std::string server);
  net::Awaitable<void> acquireFencing(std::string server);

  node::Node& mNode;
  core::Scheduler& mScheduler;
  Fencing& mFencing;
  ServerMonitorOptions mOptions;
  backends::EngineClient mEngines;
  std::function<void()> mChanged;
  std::function<bool()> mKeepOwned;
  /// Names of the live dispatchers at the last evaluation.
  std::set<std::string> mDispatchers;
  std::set<std::string> mFollowed;
  /// Servers whose last load report failed.
  std::set<std::string> mSilent;
  std::set<std::string> mRaising;
};

} // namespace lentilrack::dispatch
