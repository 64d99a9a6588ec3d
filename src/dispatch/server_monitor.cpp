#include "dispatch/server_monitor.h"

#include "core/ownership.h"
#include "dispatch/dispatch_service.h"

#include <algorithm>

namespace lentilrack::dispatch {

using core::Clock;
using net::Awaitable;

ServerMonitor::ServerMonitor(node::Node& node,
                             core::Scheduler& scheduler,
                             Fencing& fencing,
                             ServerMonitorOptions options)
  : mNode(node)
  , mScheduler(scheduler)
  , mFencing(fencing)
  , mOptions(options)
  , mEngineClient(node.http(), rateHook(scheduler))
{
}

void
ServerMonitor::start(std::function<void()> onChange)
{
  mOnChange = std::move(onChange);
  mNode.onBackendServersChanged([this] { applyServerList(); });
  applyServerList();
  net::spawn(mNode.io(), ownershipLoop());
}

void
ServerMonitor::applyServerList()
{
  const auto dispatchers =
    mNode.members().liveMembers(core::MemberRole::Dispatch);
  mLiveDispatchers.clear();
  for (const auto& member : dispatchers) {
    mLiveDispatchers.insert(member.id.name);
  }
  mScheduler.admission().setEqualShare(
    1.0 / static_cast<double>(std::max<std::size_t>(dispatchers.size(), 1)));
  const auto& self = mNode.self().name;
  const bool shouldRetain = mShouldRetainServers && mShouldRetainServers();
  auto& servers = mScheduler.servers();
  const core::ServerSet::OwnershipTest isOwned =
    [&](const core::BackendServer& server) {
      const auto* state = servers.find(server.id);
      return (shouldRetain && state != nullptr && state->owned) ||
             core::ownerOf(server, dispatchers) == self;
    };
  servers.update(mNode.backendServers(), isOwned, Clock::now());
  startMonitoring();
  mOnChange();
}

void
ServerMonitor::startMonitoring()
{
  for (const auto* state : mScheduler.servers().ownedEngines()) {
    const auto& id = state->server.id;
    if (!mMonitoredServers.insert(id).second) {
      continue;
    }
    if (state->server.checksFencing) {
      raiseFencing(id);
    }
    net::spawn(mNode.io(), monitorServer(id));
  }
}

Awaitable<void>
ServerMonitor::ownershipLoop()
{
  for (;;) {
    co_await net::sleepFor(mOptions.ownershipPeriod);
    std::set<std::string> names;
    for (const auto& member :
         mNode.members().liveMembers(core::MemberRole::Dispatch)) {
      names.insert(member.id.name);
    }
    if (names != mLiveDispatchers) {
      applyServerList();
    }
  }
}

Awaitable<void>
ServerMonitor::monitorServer(std::string server)
{
  auto nextCachePoll = Clock::now();
  for (;;) {
    const auto* state = mScheduler.servers().find(server);
    if (state == nullptr || !state->owned) {
      break;
    }
    co_await pollLoadReport(server);
    if (Clock::now() >= nextCachePoll) {
      nextCachePoll = Clock::now() + mOptions.cacheEventPeriod;
      co_await pollCacheEvents(server);
    }
    co_await net::sleepFor(mOptions.reportPeriod);
  }
  mMonitoredServers.erase(server);
  mUnresponsiveServers.erase(server);
  if (mScheduler.servers().find(server) == nullptr) {
    mScheduler.health().removeServer(server);
    mScheduler.prefixes().removeServer(server);
  }
}

Awaitable<void>
ServerMonitor::pollLoadReport(std::string server)
{
  const auto* state = mScheduler.servers().find(server);
  if (state == nullptr) {
    co_return;
  }
  const auto endpoint = state->server.endpoint;
  if (!mScheduler.servers().takePermit(endpoint, Clock::now())) {
    co_return;
  }
  // The time at which the engine wrote the report is not known, but it is after
  // the request. The age of the report is therefore counted from the request,
  // so that `observedAt` is never too late.
  const auto requested = Clock::now();
  const auto report = co_await mEngineClient.loadReport(endpoint);
  if (!report) {
    mUnresponsiveServers.insert(server);
    mScheduler.health().failed(server, Clock::now());
    co_return;
  }
  if (mUnresponsiveServers.erase(server) > 0) {
    mScheduler.health().succeeded(server);
  }
  const auto& value = report.value();
  core::ServerReport serverReport;
  serverReport.running = value.running;
  serverReport.queued = value.queued;
  serverReport.tokenRate = value.tokenRate;
  serverReport.models = value.weightVersions;
  serverReport.leaving = value.leaving;
  serverReport.observedAt = requested - value.age;
  mScheduler.servers().applyReport(server, std::move(serverReport));
  mOnChange();
}

Awaitable<void>
ServerMonitor::pollCacheEvents(std::string server)
{
  const auto* state = mScheduler.servers().find(server);
  if (state == nullptr) {
    co_return;
  }
  const auto endpoint = state->server.endpoint;
  if (!mScheduler.servers().takePermit(endpoint, Clock::now())) {
    co_return;
  }
  auto& prefixes = mScheduler.prefixes();
  const auto after = prefixes.lastSequence(server);
  const auto events = co_await mEngineClient.cacheEvents(endpoint, after);
  if (!events) {
    co_return;
  }
  if (events.value().nextSequence < after) {
    // The engine has restarted and numbers its events from the start again, so
    // the prefixes recorded for it are dropped.
    prefixes.removeServer(server);
  }
  std::vector<core::PrefixChange> changes;
  for (const auto& event : events.value().events) {
    changes.push_back({ event.sequence, event.prefix, event.added });
  }
  prefixes.apply(server, changes);
}

void
ServerMonitor::raiseFencing(const std::string& server)
{
  if (mRaisingFencing.insert(server).second) {
    net::spawn(mNode.io(), raiseFencingWithRetry(server));
  }
}

Awaitable<void>
ServerMonitor::raiseFencingWithRetry(std::string server)
{
  // No work is sent while the number is raised, because the server would refuse
  // work with the old number.
  const bool isHeld = mScheduler.servers().hold(server);
  bool isRaised = co_await mFencing.raise(server);
  if (isHeld) {
    mScheduler.servers().release(server);
  }
  mOnChange();
  while (!isRaised) {
    co_await net::sleepFor(mOptions.fencingRetryInterval);
    const auto* state = mScheduler.servers().find(server);
    if (state == nullptr || !state->owned) {
      break;
    }
    isRaised = co_await mFencing.raise(server);
  }
  mRaisingFencing.erase(server);
}

} // namespace lentilrack::dispatch
