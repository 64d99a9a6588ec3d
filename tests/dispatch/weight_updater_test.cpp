#include "dispatch/weight_updater.h"

#include "support/fake_weight_store.h"
#include "support/io_test.h"

#include <algorithm>
#include <deque>

namespace lentilrack::dispatch {

namespace {

using core::Millis;
using net::Awaitable;
using testing::FakeWeightStore;

struct Load
{
  std::string server;
  std::int64_t version = 0;
  core::Endpoint source;
};

/// Runs a WeightUpdater with simulated engines. A test sets in mFailures how
/// many of the first loads of a server fail.
class WeightUpdaterTest : public testing::IoTest
{
protected:
  void addEngines(int count, const std::string& failureDomain = "etna")
  {
    for (int i = 0; i < count; ++i) {
      OwnedEngine engine;
      engine.server.id = failureDomain + "-" + std::to_string(i);
      engine.server.models = { "model" };
      engine.server.versions = { { "model", 1 } };
      engine.server.slots = 4;
      engine.failureDomain = failureDomain;
      mEngines.push_back(engine);
    }
  }

  std::shared_ptr<WeightUpdater> start()
  {
    WeightUpdaterOptions options;
    options.store = mStore.endpoint;
    options.failureDomain = "etna";
    options.pollTimeout = Millis(50);
    options.pollRetryInterval = Millis(5);
    options.checkInterval = Millis(5);
    options.policy.backoff = [](std::int64_t, double) { return Millis(5); };
    WeightUpdaterHooks hooks;
    hooks.listOwnedEngines = [this] { return mEngines; };
    hooks.listCaches = [this] { return mCaches; };
    hooks.hold = [this](const std::string& server) { ++mHeld[server]; };
    hooks.release = [this](const std::string& server) { --mHeld[server]; };
    hooks.onAnnouncement = [this](const std::string&,
                                  const backends::WeightVersion& version) {
      mAnnounced.push_back(version.version);
    };
    hooks.loadWeights = [this](OwnedEngine engine,
                               std::string,
                               std::int64_t version,
                               core::Endpoint source) {
      return loadWeights(std::move(engine), version, std::move(source));
    };
    auto updater = std::make_shared<WeightUpdater>(mIo,
                                                   mHttp,
                                                   mMetrics,
                                                   net::Logger("test"),
                                                   std::move(options),
                                                   std::move(hooks));
    updater->begin();
    return updater;
  }

  Awaitable<bool> loadWeights(OwnedEngine engine,
                              std::int64_t version,
                              core::Endpoint source)
  {
    const auto id = engine.server.id;
    EXPECT_EQ(mHeld[id], 1) << "a server must be held while it loads";
    mLoads.push_back({ id, version, std::move(source) });
    mMaxHeld = std::max<std::int64_t>(
      mMaxHeld, std::ranges::count_if(mHeld, [](const auto& entry) {
        return entry.second > 0;
      }));
    co_await net::sleepFor(Millis(2));
    const bool fails = mFailures[id] > 0;
    if (fails) {
      --mFailures[id];
      co_return false;
    }
    for (auto& owned : mEngines) {
      if (owned.server.id == id) {
        owned.server.versions["model"] = version;
      }
    }
    co_return true;
  }

  bool allEnginesRun(std::int64_t version) const
  {
    return std::ranges::all_of(mEngines, [version](const auto& engine) {
      return engine.server.versions.at("model") == version;
    });
  }

  bool noServerHeld() const
  {
    return std::ranges::all_of(
      mHeld, [](const auto& entry) { return entry.second == 0; });
  }

  FakeWeightStore mStore{ mIo };
  net::HttpClient mHttp{ mIo };
  net::Metrics mMetrics;
  std::vector<OwnedEngine> mEngines;
  std::vector<WeightCacheAddress> mCaches;
  std::map<std::string, int> mHeld;
  std::map<std::string, int> mFailures;
  std::vector<Load> mLoads;
  std::vector<std::int64_t> mAnnounced;
  std::int64_t mMaxHeld = 0;
};

} // namespace

TEST_F(WeightUpdaterTest, MovesAllEnginesToAnAnnouncedVersion)
{
  addEngines(8);
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    mStore.versions["model"] = 2;
    co_await until([&] { return allEnginesRun(2) && noServerHeld(); });
    mStore.versions["model"] = 5;
    co_await until([&] { return allEnginesRun(5) && noServerHeld(); });
  });
  const std::vector<std::int64_t> announced{ 2, 5 };
  EXPECT_EQ(mAnnounced, announced);
  EXPECT_EQ(mLoads.size(), 16U);
  updater->stop();
}

// Guards against stopping new work for all busy engines at the same time.
TEST_F(WeightUpdaterTest, HoldsFewBusyEnginesAtATime)
{
  addEngines(8);
  for (auto& engine : mEngines) {
    engine.server.running = engine.server.slots;
  }
  mStore.versions["model"] = 2;
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    co_await until([&] { return allEnginesRun(2) && noServerHeld(); });
  });
  EXPECT_EQ(mMaxHeld, 1);
}

// Guards against a server that gets no new work, or keeps the old version for
// good, after it could not load the weights.
TEST_F(WeightUpdaterTest, FailedLoadIsRepeatedAndTheServerReleased)
{
  addEngines(2);
  mFailures["etna-0"] = 3;
  mStore.versions["model"] = 2;
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    co_await until([&] { return allEnginesRun(2) && noServerHeld(); });
  });
  EXPECT_EQ(mLoads.size(), 5U);
  EXPECT_EQ(mMetrics.counter("weight_loads_total{result=\"failed\"}"), 3);
}

// Guards against loading from the store when the failure domain of the engine
// has a cache. The store must be read only once per failure domain.
TEST_F(WeightUpdaterTest, SourceIsTheCacheOfTheEnginesFailureDomain)
{
  addEngines(3, "etna");
  addEngines(2, "messina");
  const core::Endpoint etnaCache{ "127.0.0.1", 1 };
  mCaches = { { "a", "etna", etnaCache },
              { "b", "siracusa", { "127.0.0.1", 2 } } };
  mStore.versions["model"] = 2;
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    co_await until([&] { return allEnginesRun(2) && noServerHeld(); });
  });
  for (const auto& load : mLoads) {
    const bool inEtna = load.server.starts_with("etna");
    EXPECT_EQ(load.source, inEtna ? etnaCache : mStore.endpoint);
  }
}

// Guards against missing updates in a failure domain whose cache is down. Both
// the loads and the polls for new versions must go to the store instead.
TEST_F(WeightUpdaterTest, StoreIsUsedAfterACacheFailed)
{
  addEngines(1, "etna");
  mFailures["etna-0"] = 1;
  const core::Endpoint deadCache{ "127.0.0.1", 1 };
  mCaches = { { "a", "etna", deadCache } };
  mStore.versions["model"] = 2;
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    co_await until([&] { return allEnginesRun(2) && noServerHeld(); });
  });
  ASSERT_EQ(mLoads.size(), 2U);
  EXPECT_EQ(mLoads[0].source, deadCache);
  EXPECT_EQ(mLoads[1].source, mStore.endpoint);
}

TEST_F(WeightUpdaterTest, UnavailableStoreOnlyDelaysTheUpdate)
{
  addEngines(1);
  mStore.down = true;
  mStore.versions["model"] = 2;
  const auto updater = start();
  run([&]() -> Awaitable<void> {
    co_await until([&] { return mStore.versionPolls >= 3; });
    EXPECT_TRUE(mLoads.empty());
    mStore.down = false;
    co_await until([&] { return allEnginesRun(2); });
  });
}

TEST(ChooseCache, AllDispatchersChooseTheSameCacheOfADomain)
{
  const std::vector<WeightCacheAddress> caches{
    { "a", "etna", { "127.0.0.1", 1 } },
    { "b", "etna", { "127.0.0.1", 2 } },
    { "c", "messina", { "127.0.0.1", 3 } }
  };
  auto reversed = caches;
  std::ranges::reverse(reversed);
  for (std::int64_t version = 0; version < 50; ++version) {
    const auto* one = chooseCache(caches, "etna", "model", version);
    const auto* other = chooseCache(reversed, "etna", "model", version);
    ASSERT_NE(one, nullptr);
    EXPECT_EQ(one->name, other->name);
    EXPECT_EQ(one->failureDomain, "etna");
  }
  EXPECT_EQ(chooseCache(caches, "siracusa", "model", 1), nullptr);
  EXPECT_EQ(chooseCache(caches, "etna", "a/b", 1), nullptr);
}

} // namespace lentilrack::dispatch
