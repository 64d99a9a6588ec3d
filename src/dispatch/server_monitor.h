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
  /// Interval between polls of one engine's load report. The report tells that
  /// a server is leaving. A leaving server must get no more work after 3 s, so
  /// the interval must stay below 3 s.
  core::Millis reportPeriod{ 1000 };
  /// Minimum interval between polls of one engine's cache events.
  core::Millis cacheEventPeriod{ 2000 };
  /// Interval between checks for dispatchers that joined or left.
  core::Millis ownershipPeriod{ 250 };
  /// Interval between attempts to raise a fencing number.
  core::Millis fencingRetryInterval{ 2000 };
};

/// Keeps the scheduler's data on the backend servers up to date. Watches the
/// instance list and the live dispatchers, which together determine the servers
/// that this dispatcher owns, and polls the load reports and cache events of
/// the owned engines.
class ServerMonitor
{
public:
  ServerMonitor(node::Node& node,
                core::Scheduler& scheduler,
                Fencing& fencing,
                ServerMonitorOptions options = {});

  /// Starts to monitor. Calls `onChange` when queued work may be able to start.
  void start(std::function<void()> onChange);
  /// Retains the owned servers while `shouldRetain` returns true, even if
  /// another dispatcher now owns them. Used while this process drains, so that
  /// its queued work can still run. The overlap is limited, because a new owner
  /// starts with few jobs at a time per server.
  void retainServersWhile(std::function<bool()> shouldRetain)
  {
    mShouldRetainServers = std::move(shouldRetain);
  }
  /// Starts to raise the fencing number of a server, unless it is already being
  /// raised. Called when this dispatcher becomes the owner of the server, or
  /// when the server has refused the number as stale.
  void raiseFencing(const std::string& server);

private:
  /// Updates the scheduler's servers and their owners.
  void applyServerList();
  /// Starts monitorServer() for each owned engine that is not monitored yet.
  void startMonitoring();
  net::Awaitable<void> ownershipLoop();
  /// Polls an engine until this process no longer owns it.
  net::Awaitable<void> monitorServer(std::string server);
  net::Awaitable<void> pollLoadReport(std::string server);
  net::Awaitable<void> pollCacheEvents(std::string server);
  net::Awaitable<void> raiseFencingWithRetry(std::string server);

  node::Node& mNode;
  core::Scheduler& mScheduler;
  Fencing& mFencing;
  ServerMonitorOptions mOptions;
  backends::EngineClient mEngineClient;
  std::function<void()> mOnChange;
  /// True while the owned servers must be retained, even if another dispatcher
  /// now owns them; empty if they are never retained.
  std::function<bool()> mShouldRetainServers;
  /// Names of the live dispatchers when the owners were last determined.
  std::set<std::string> mLiveDispatchers;
  /// Servers for which monitorServer() runs.
  std::set<std::string> mMonitoredServers;
  /// Servers whose last load report failed.
  std::set<std::string> mUnresponsiveServers;
  /// Servers whose fencing number is being raised.
  std::set<std::string> mRaisingFencing;
};

} // namespace lentilrack::dispatch
