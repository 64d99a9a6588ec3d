#include "dispatch/server_monitor.h"

#include "core/ownership.h"

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
  , mEngines(node.http())
{
}

void
ServerMonitor::start(std::function<void()> changed)
{
  mChanged = std::move(changed);
  mNode.onBackendServers([this] { applyList(); });
  applyList();
  net::spawn(mNode.io(), ownershipLoop());
}

void
ServerMonitor::applyList()
{
  const auto dispatchers =
    mNode.members().liveMembers(core::MemberRole::Dispatch);
  mDispatchers.clear();
  for (const auto& member : dispatchers) {
    mDispatchers.insert(member.id.name);
  }
  mScheduler.admission().setEqualShare(
    1.0 / static_cast<double>(std::max<std::size_t>(dispatchers.size(), 1)));
  const auto& self = mNode.self().name;
  const bool keep = mKeepOwned && mKeepOwned();
  auto& servers = mScheduler.servers();
  const core::ServerSet::Owned owned = [&](const core::BackendServer& server) {
    const auto* state = servers.find(server.id);
    return (keep && state != nullptr && state->owned) ||
           core::ownerOf(server, dispatchers) == self;
  };
  servers.update(mNode.backendServers(), owned, Clock::now());
  followServers();
  mChanged();
}

void
ServerMonitor::followServers()
{
  for (const auto* state : mScheduler.servers().ownedEngines()) {
    const auto& id = state->server.id;
    if (!mFollowed.insert(id).second) {
      continue;
    }
    if (state->server.checksFencing) {
      raiseFencing(id);
    }
    net::spawn(mNode.io(), follow(id));
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
    if (names != mDispatchers) {
      applyList();
    }
  }
}

Awaitable<void>
ServerMonitor::follow(std::string server)
{
  auto nextCache = Clock::now();
  for (;;) {
    const auto* state = mScheduler.servers().find(server);
    if (state == nullptr || !state->owned) {
      break;
    }
    co_await pollReport(server);
    if (Clock::now() >= nextCache) {
      nextCache = Clock::now() + mOptions.cachePeriod;
      co_await pollCache(server);
    }
    co_await net::sleepFor(mOptions.reportPeriod);
  }
  mFollowed.erase(server);
  mSilent.erase(server);
  if (mScheduler.servers().find(server) == nullptr) {
    mScheduler.health().removeServer(server);
    mScheduler.prefixes().removeServer(server);
  }
}

Awaitable<void>
ServerMonitor::pollReport(std::string server)
{
  const auto* state = mScheduler.servers().find(server);
  if (state == nullptr) {
    co_return;
  }
  const auto endpoint = state->server.endpoint;
  // The answer is at least as new as the request, so its age counts from then.
  const auto asked = Clock::now();
  const auto report = co_await mEngines.loadReport(endpoint);
  if (!report) {
    mSilent.insert(server);
    mScheduler.health().failed(server, Clock::now());
    co_return;
  }
  if (mSilent.erase(server) > 0) {
    mScheduler.health().succeeded(server);
  }
  const auto& value = report.value();
  core::ServerReport said;
  said.running = value.running;
  said.queued = value.queued;
  said.tokenRate = value.tokenRate;
  said.models = value.weightVersions;
  said.leaving = value.leaving;
  said.observedAt = asked - value.age;
  mScheduler.servers().report(server, std::move(said));
  mChanged();
}

Awaitable<void>
ServerMonitor::pollCache(std::string server)
{
  const auto* state = mScheduler.servers().find(server);
  if (state == nullptr) {
    co_return;
  }
  const auto endpoint = state->server.endpoint;
  auto& prefixes = mScheduler.prefixes();
  const auto after = prefixes.lastSequence(server);
  const auto events = co_await mEngines.cacheEvents(endpoint, after);
  if (!events) {
    co_return;
  }
  if (events.value().nextSequence < after) {
    // The engine restarted and counts from the beginning.
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
  if (mRaising.insert(server).second) {
    net::spawn(mNode.io(), acquireFencing(server));
  }
}

Awaitable<void>
ServerMonitor::acquireFencing(std::string server)
{
  // Work with the old number would only be refused.
  const bool held = mScheduler.servers().hold(server);
  bool raised = co_await mFencing.raise(server);
  if (held) {
    mScheduler.servers().release(server);
  }
  mChanged();
  while (!raised) {
    co_await net::sleepFor(mOptions.fencingRetry);
    const auto* state = mScheduler.servers().find(server);
    if (state == nullptr || !state->owned) {
      break;
    }
    raised = co_await mFencing.raise(server);
  }
  mRaising.erase(server);
}

} // namespace lentilrack::dispatch
