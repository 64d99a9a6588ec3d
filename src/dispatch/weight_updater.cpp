#include "dispatch/weight_updater.h"

#include "dispatch/chunk_store.h"
#include "net/random.h"

#include <xxhash.h>

#include <algorithm>

namespace lentilrack::dispatch {

using core::Clock;
using net::Awaitable;

namespace {

/// After this number of polls of a cache in a row without a new version, the
/// store is polled instead. A cache that cannot reach the store learns of no
/// new versions.
constexpr std::int64_t kMaxEmptyCachePolls = 3;
/// Limits the poll rate if a source reports "no new version" without waiting.
constexpr core::Millis kEmptyPollPause{ 50 };

} // namespace

const WeightCacheAddress*
chooseCache(const std::vector<WeightCacheAddress>& caches,
            const std::string& failureDomain,
            const std::string& model,
            std::int64_t version)
{
  if (!isCacheableModel(model)) {
    return nullptr;
  }
  const WeightCacheAddress* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const auto& cache : caches) {
    if (cache.failureDomain != failureDomain) {
      continue;
    }
    const auto key = cache.name + '\n' + model + '\n' + std::to_string(version);
    const auto rank = XXH64(key.data(), key.size(), 0);
    if (best == nullptr || rank > bestRank) {
      best = &cache;
      bestRank = rank;
    }
  }
  return best;
}

WeightUpdater::WeightUpdater(net::asio::io_context& io,
                             net::HttpClient& http,
                             net::Metrics& metrics,
                             net::Logger log,
                             WeightUpdaterOptions options,
                             WeightUpdaterHooks hooks)
  : mIo(io)
  , mStoreClient(http)
  , mMetrics(metrics)
  , mLog(std::move(log))
  , mOptions(std::move(options))
  , mHooks(std::move(hooks))
  , mRollout(mOptions.policy)
  , mWake(io)
{
}

void
WeightUpdater::begin()
{
  net::spawn(mIo, loop(), shared_from_this());
}

void
WeightUpdater::stop()
{
  mIsStopped = true;
  mWake.notify();
}

Awaitable<void>
WeightUpdater::loop()
{
  while (!mIsStopped) {
    refreshServers();
    startLoads();
    co_await mWake.wait(mOptions.checkInterval);
  }
}

void
WeightUpdater::refreshServers()
{
  mOwnedEngines.clear();
  std::vector<core::RolloutServer> servers;
  for (auto& engine : mHooks.listOwnedEngines()) {
    servers.push_back(engine.server);
    for (const auto& model : engine.server.models) {
      if (mWatchedModels.insert(model).second) {
        net::spawn(mIo, watchModel(model), shared_from_this());
      }
    }
    mOwnedEngines[engine.server.id] = std::move(engine);
  }
  mRollout.setServers(servers, Clock::now());
}

void
WeightUpdater::startLoads()
{
  for (auto& swap : mRollout.next(Clock::now())) {
    const auto engine = mOwnedEngines.at(swap.server);
    net::spawn(mIo, loadWeights(std::move(swap), engine), shared_from_this());
  }
}

core::Endpoint
WeightUpdater::loadSource(const core::WeightSwap& swap,
                          const std::string& failureDomain) const
{
  if (mCacheBypassingServers.contains(swap.server)) {
    return mOptions.store;
  }
  const auto caches = mHooks.listCaches();
  const auto* cache =
    chooseCache(caches, failureDomain, swap.model, swap.version);
  return cache == nullptr ? mOptions.store : cache->endpoint;
}

Awaitable<void>
WeightUpdater::loadWeights(core::WeightSwap swap, OwnedEngine engine)
{
  const auto source = loadSource(swap, engine.failureDomain);
  const auto started = Clock::now();
  mHooks.hold(swap.server);
  const bool loaded =
    co_await mHooks.loadWeights(engine, swap.model, swap.version, source);
  mHooks.release(swap.server);
  const auto now = Clock::now();
  mRollout.finished(swap, loaded, now, net::randomFraction());
  if (loaded) {
    mCacheBypassingServers.erase(swap.server);
    mMetrics.increment("weight_loads_total{result=\"done\"}");
    mMetrics.observe(
      "weight_load_ms",
      std::chrono::duration<double, std::milli>(now - started).count());
  } else {
    const bool usedCache = source != mOptions.store;
    if (usedCache) {
      mCacheBypassingServers.insert(swap.server);
    } else {
      mCacheBypassingServers.erase(swap.server);
    }
    mMetrics.increment("weight_loads_total{result=\"failed\"}");
    mLog.warning("Server {} did not load version {} of {} from {}.",
                 swap.server,
                 swap.version,
                 swap.model,
                 source.text());
  }
  mWake.notify();
}

core::Endpoint
WeightUpdater::announcementSource(const std::string& model,
                                  std::int64_t emptyPolls) const
{
  if (emptyPolls >= kMaxEmptyCachePolls) {
    return mOptions.store;
  }
  const auto caches = mHooks.listCaches();
  const auto* cache = chooseCache(caches, mOptions.failureDomain, model, 0);
  return cache == nullptr ? mOptions.store : cache->endpoint;
}

Awaitable<void>
WeightUpdater::watchModel(std::string model)
{
  std::int64_t emptyPolls = 0;
  while (!mIsStopped) {
    const auto after = mRollout.target(model).value_or(0);
    const auto source = announcementSource(model, emptyPolls);
    const bool isStorePoll = source == mOptions.store;
    const auto newest = co_await mStoreClient.waitForNewerVersion(
      source, model, after, mOptions.pollTimeout);
    if (!newest) {
      // If a cache did not respond, the next poll goes to the store.
      emptyPolls = isStorePoll ? 0 : kMaxEmptyCachePolls;
      co_await net::sleepFor(mOptions.pollRetryInterval);
      continue;
    }
    if (!newest.value()) {
      emptyPolls = isStorePoll ? 0 : emptyPolls + 1;
      co_await net::sleepFor(kEmptyPollPause);
      continue;
    }
    emptyPolls = 0;
    const auto version = *newest.value();
    if (mRollout.announce(model, version.version)) {
      mLog.info("Version {} of {} is announced.", version.version, model);
      if (mHooks.onAnnouncement) {
        mHooks.onAnnouncement(model, version);
      }
      mWake.notify();
    }
  }
}

} // namespace lentilrack::dispatch
