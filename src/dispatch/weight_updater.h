#pragma once

#include "backends/weight_store_client.h"
#include "core/weight_rollout.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/notifier.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentilrack::dispatch {

/// An engine that this dispatcher owns.
struct OwnedEngine
{
  core::RolloutServer server;
  core::Endpoint endpoint;
  std::string failureDomain;
};

/// A weight cache that engines may load from.
struct WeightCacheAddress
{
  std::string name;
  std::string failureDomain;
  core::Endpoint endpoint;
};

/// What the updater needs from the dispatcher. Servers are named by identifier.
struct WeightUpdaterHooks
{
  std::function<std::vector<OwnedEngine>()> owned;
  /// Live weight caches of all failure domains.
  std::function<std::vector<WeightCacheAddress>()> caches;
  /// No new work for the server until release(). Its running work goes on. The
  /// server may have been lost to another owner before release().
  std::function<void(const std::string& server)> hold;
  std::function<void(const std::string& server)> release;
  /// Tells the engine to load; true if it confirmed.
  std::function<net::Awaitable<bool>(OwnedEngine engine,
                                     std::string model,
                                     std::int64_t version,
                                     core::Endpoint source)>
    load;
  /// Called for each new version that is announced; may be empty.
  std::function<void(const std::string& model,
                     const backends::WeightVersion& version)>
    onAnnouncement;
};

struct WeightUpdaterOptions
{
  core::Endpoint store;
  std::string failureDomain;
  core::WeightRolloutPolicy policy = core::defaultWeightRolloutPolicy();
  core::Millis pollTimeout{ 5'000 };
  core::Millis pollRetryInterval{ 500 };
  /// How often the owned servers are looked at without an event.
  core::Millis checkInterval{ 250 };
};

/// Follows the announced weight versions of the models of the owned engines and
/// moves these engines to the newest ones.
class WeightUpdater : public std::enable_shared_from_this<WeightUpdater>
{
public:
  WeightUpdater(net::asio::io_context& io,
                net::HttpClient& http,
                net::Metrics& metrics,
                net::Logger log,
                WeightUpdaterOptions options,
                WeightUpdaterHooks hooks);

  void begin();
  /// Starts no further load; those in progress end.
  void stop();
  /// Owned servers or their versions have changed.
  void wake() { mWake.notify(); }

  const core::WeightRollout& rollout() const { return mRollout; }

private:
  net::Awaitable<void> loop();
  net::Awaitable<void> watchModel(std::string model);
  net::Awaitable<void> load(core::WeightSwap swap, OwnedEngine engine);
  void refreshServers();
  void startLoads();
  core::Endpoint loadSource(const core::WeightSwap& swap,
                            const std::string& failureDomain) const;
  core::Endpoint announcementSource(const std::string& model,
                                    std::int64_t emptyPolls) const;

  net::asio::io_context& mIo;
  backends::WeightStoreClient mStore;
  net::Metrics& mMetrics;
  net::Logger mLog;
  WeightUpdaterOptions mOptions;
  WeightUpdaterHooks mHooks;
  core::WeightRollout mRollout;
  net::Notifier mWake;
  bool mStopped = false;
  std::map<std::string, OwnedEngine> mEngines;
  /// Models whose announcements are followed.
  std::set<std::string> mWatchedModels;
  /// Servers whose last load through a cache failed; the next one reads the
  /// store, because the cache may be the cause.
  std::set<std::string> mBypassCache;
};

/// The cache of the failure domain that serves this version: all dispatchers
/// choose the same one, so that the store is read once per domain. Null if the
/// domain has none.
const WeightCacheAddress*
chooseCache(const std::vector<WeightCacheAddress>& caches,
            const std::string& failureDomain,
            const std::string& model,
            std::int64_t version);

} // namespace lentilrack::dispatch
