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

/// A weight cache from which engines may load weights.
struct WeightCacheAddress
{
  std::string name;
  std::string failureDomain;
  core::Endpoint endpoint;
};

/// Callbacks through which the updater acts on the dispatcher. Servers are
/// given by their identifiers.
struct WeightUpdaterHooks
{
  /// Returns the engines that this dispatcher owns.
  std::function<std::vector<OwnedEngine>()> listOwnedEngines;
  /// Returns the weight caches of the live dispatchers in all failure domains.
  std::function<std::vector<WeightCacheAddress>()> listCaches;
  /// Sends no new work to the server until release() is called. Its running
  /// work continues. Another dispatcher may become the owner of the server
  /// before release() is called.
  std::function<void(const std::string& server)> hold;
  std::function<void(const std::string& server)> release;
  /// Tells the engine to load a version of the model's weights from `source`.
  /// Returns true if the engine confirmed that it has loaded them.
  std::function<net::Awaitable<bool>(OwnedEngine engine,
                                     std::string model,
                                     std::int64_t version,
                                     core::Endpoint source)>
    loadWeights;
  /// Called for each newly announced version. Optional.
  std::function<void(const std::string& model,
                     const backends::WeightVersion& version)>
    onAnnouncement;
};

struct WeightUpdaterOptions
{
  core::Endpoint store;
  std::string failureDomain;
  core::WeightRolloutPolicy policy = core::defaultWeightRolloutPolicy();
  /// How long a poll of the store or a cache may wait for a new version.
  core::Millis pollTimeout{ 5'000 };
  /// Pause after a failed poll.
  core::Millis pollRetryInterval{ 500 };
  /// Longest interval between checks of the owned servers. wake() causes a
  /// check at once.
  core::Millis checkInterval{ 250 };
};

/// Watches for new weight versions of the models that the owned engines serve,
/// and updates these engines to the newest versions.
class WeightUpdater : public std::enable_shared_from_this<WeightUpdater>
{
public:
  WeightUpdater(net::asio::io_context& io,
                net::HttpClient& http,
                net::Metrics& metrics,
                net::Logger log,
                WeightUpdaterOptions options,
                WeightUpdaterHooks hooks);

  /// Starts the update loop. The object must be owned by a shared_ptr.
  void begin();
  /// Starts no further loads of weights. Loads in progress are completed.
  void stop();
  /// Checks the owned servers at once. To be called when the set of owned
  /// servers or a weight version has changed.
  void wake() { mWake.notify(); }

  const core::WeightRollout& rollout() const { return mRollout; }

private:
  net::Awaitable<void> loop();
  net::Awaitable<void> watchModel(std::string model);
  net::Awaitable<void> loadWeights(core::WeightSwap swap, OwnedEngine engine);
  void refreshServers();
  void startLoads();
  /// Returns the weight cache or the store from which the server should load.
  core::Endpoint loadSource(const core::WeightSwap& swap,
                            const std::string& failureDomain) const;
  /// Returns the weight cache or the store to poll for new versions.
  core::Endpoint announcementSource(const std::string& model,
                                    std::int64_t emptyPolls) const;

  net::asio::io_context& mIo;
  backends::WeightStoreClient mStoreClient;
  net::Metrics& mMetrics;
  net::Logger mLog;
  WeightUpdaterOptions mOptions;
  WeightUpdaterHooks mHooks;
  core::WeightRollout mRollout;
  net::Notifier mWake;
  bool mIsStopped = false;
  /// Owned engines at the last check, by server identifier.
  std::map<std::string, OwnedEngine> mOwnedEngines;
  /// Models that watchModel() polls.
  std::set<std::string> mWatchedModels;
  /// Servers whose last load of weights through a cache failed. Their next load
  /// reads from the store, because the cache may have caused the failure.
  std::set<std::string> mCacheBypassingServers;
};

/// Chooses one weight cache of the failure domain for a version, by rendezvous
/// hashing. All dispatchers choose the same cache, so that the store is read
/// only once per failure domain. Returns null if the domain has no cache or the
/// model cannot be cached.
const WeightCacheAddress*
chooseCache(const std::vector<WeightCacheAddress>& caches,
            const std::string& failureDomain,
            const std::string& model,
            std::int64_t version);

} // namespace lentilrack::dispatch
