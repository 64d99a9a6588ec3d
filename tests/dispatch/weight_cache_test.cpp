#include "dispatch/weight_cache.h"

#include "backends/error.h"
#include "support/fake_weight_store.h"
#include "support/io_test.h"
#include "support/temporary_directory.h"

namespace lentilrack::dispatch {

namespace {

using core::Millis;
using net::Awaitable;
using testing::FakeWeightStore;

class WeightCacheTest : public testing::IoTest
{
protected:
  std::shared_ptr<WeightCache> makeCache(std::uint64_t limit = 1'000'000)
  {
    WeightCacheOptions options;
    options.store = mStore.endpoint;
    options.directory = mDirectory.path().string();
    options.diskLimit = limit;
    options.downloadTimeout = Millis(500);
    options.pollTimeout = Millis(100);
    options.pollRetryInterval = Millis(5);
    options.backoff = [](std::int64_t, double) { return Millis(5); };
    auto cache = std::make_shared<WeightCache>(
      mIo, mHttp, mMetrics, net::Logger("test"), std::move(options));
    EXPECT_TRUE(cache->open());
    return cache;
  }

  /// Serves the cache over HTTP as a dispatcher does. Returns the endpoint of
  /// the HTTP server.
  core::Endpoint serve(const std::shared_ptr<WeightCache>& cache)
  {
    cache->addRoutes(mRouter);
    return mServer.listen({ "127.0.0.1", 0 }).value();
  }

  Awaitable<void> readInto(std::shared_ptr<WeightCache> cache, ChunkKey key)
  {
    auto result = co_await cache->chunk(key);
    if (result) {
      mRead.push_back(std::move(result.value()));
    } else {
      mErrors.push_back(result.error());
    }
  }

  testing::TemporaryDirectory mDirectory;
  FakeWeightStore mStore{ mIo };
  net::HttpClient mHttp{ mIo };
  net::Metrics mMetrics;
  net::HttpRouter mRouter;
  net::HttpServer mServer{ mIo, {}, [this](net::HttpExchange& exchange) {
                            return mRouter.handle(exchange);
                          } };
  std::vector<std::string> mRead;
  std::vector<std::error_code> mErrors;
};

const ChunkKey kFirstChunk{ "model", 3, 0 };

} // namespace

// Guards against reading a chunk from the store once for each request. The
// cache must read it only once.
TEST_F(WeightCacheTest, ManyRequestsReadTheStoreOnce)
{
  const auto cache = makeCache();
  run([&]() -> Awaitable<void> {
    for (int i = 0; i < 20; ++i) {
      net::spawn(mIo, readInto(cache, kFirstChunk));
    }
    co_await until([&] { return mRead.size() == 20; });
    co_await readInto(cache, kFirstChunk);
  });
  EXPECT_EQ(mRead.size(), 21U);
  for (const auto& data : mRead) {
    EXPECT_EQ(data, FakeWeightStore::contentOf("3", "0"));
  }
  EXPECT_EQ(mStore.reads["3/0"], 1);
}

TEST_F(WeightCacheTest, RestartedCacheServesFromItsDisk)
{
  run([&]() -> Awaitable<void> {
    const auto first = makeCache();
    co_await readInto(first, kFirstChunk);
    mStore.down = true;
    const auto second = makeCache();
    co_await readInto(second, kFirstChunk);
  });
  EXPECT_EQ(mRead.size(), 2U);
  EXPECT_EQ(mStore.reads["3/0"], 1);
}

// Guards against serving or storing a chunk that was damaged in transit.
TEST_F(WeightCacheTest, DamagedDownloadIsReadAgain)
{
  mStore.corrupted = 2;
  const auto cache = makeCache();
  run([&]() -> Awaitable<void> { co_await readInto(cache, kFirstChunk); });
  ASSERT_EQ(mRead.size(), 1U);
  EXPECT_EQ(mRead[0], FakeWeightStore::contentOf("3", "0"));
  EXPECT_EQ(mStore.reads["3/0"], 3);
}

TEST_F(WeightCacheTest, RateLimitDelaysTheDownload)
{
  mStore.rateLimited = 3;
  const auto cache = makeCache();
  run([&]() -> Awaitable<void> { co_await readInto(cache, kFirstChunk); });
  EXPECT_EQ(mRead.size(), 1U);
}

// Guards against refusing a chunk for good after one download of it has failed.
TEST_F(WeightCacheTest, FailedDownloadEndsWithAnErrorAndCanBeRepeated)
{
  mStore.down = true;
  const auto cache = makeCache();
  run([&]() -> Awaitable<void> {
    co_await readInto(cache, kFirstChunk);
    mStore.down = false;
    co_await readInto(cache, kFirstChunk);
  });
  EXPECT_EQ(mErrors.size(), 1U);
  EXPECT_EQ(mRead.size(), 1U);
}

TEST_F(WeightCacheTest, UnknownChunkIsNotRetried)
{
  const auto cache = makeCache();
  run([&]() -> Awaitable<void> {
    ChunkKey key{ "model", 3, 9 };
    co_await readInto(cache, key);
  });
  ASSERT_EQ(mErrors.size(), 1U);
  EXPECT_EQ(mErrors[0], backends::BackendError::NotFound);
  EXPECT_EQ(mStore.reads["3/9"], 1);
}

// Guards against refusing a chunk because it cannot be stored on the disk.
TEST_F(WeightCacheTest, ChunkThatDoesNotFitIsStillServed)
{
  const auto cache = makeCache(10);
  run([&]() -> Awaitable<void> { co_await readInto(cache, kFirstChunk); });
  EXPECT_EQ(mRead.size(), 1U);
  EXPECT_EQ(cache->chunkStore().bytes(), 0U);
}

TEST_F(WeightCacheTest, SpeaksTheProtocolOfTheStore)
{
  mStore.versions["model"] = 3;
  const auto endpoint = serve(makeCache());
  backends::WeightStoreClient client(mHttp);
  run([&]() -> Awaitable<void> {
    const auto version =
      co_await client.waitForNewerVersion(endpoint, "model", 0, Millis(5000));
    EXPECT_TRUE(version.has_value());
    EXPECT_TRUE(version && version.value());
    EXPECT_EQ(version.value()->version, 3);
    EXPECT_EQ(version.value()->chunks, 2);
    const auto none =
      co_await client.waitForNewerVersion(endpoint, "model", 3, Millis(30));
    EXPECT_TRUE(none.has_value());
    EXPECT_FALSE(none.value().has_value());
    const auto chunk = co_await client.readChunk(endpoint, "model", 3, 1);
    EXPECT_TRUE(chunk.has_value());
    EXPECT_EQ(chunk.value(), FakeWeightStore::contentOf("3", "1"));
    const auto missing = co_await client.readChunk(endpoint, "model", 3, 7);
    EXPECT_EQ(missing.error(), backends::BackendError::NotFound);
  });
}

// Guards against telling an engine that a version does not exist when only the
// cache does not know the version yet.
TEST_F(WeightCacheTest, PollWithoutWaitFindsAVersionUnknownToTheCache)
{
  mStore.versions["model"] = 3;
  const auto endpoint = serve(makeCache());
  backends::WeightStoreClient client(mHttp);
  run([&]() -> Awaitable<void> {
    const auto version =
      co_await client.waitForNewerVersion(endpoint, "model", 2, Millis(0));
    EXPECT_TRUE(version && version.value());
  });
}

// Guards against using malformed paths to read the store or the disk.
TEST_F(WeightCacheTest, BadPathsAreNotFound)
{
  const auto endpoint = serve(makeCache());
  run([&]() -> Awaitable<void> {
    for (const std::string target : { "/weights/model/-1/0",
                                      "/weights/model/1x/0",
                                      "/weights/..%2f/1/0",
                                      "/weights/.hidden/1/0",
                                      "/versions/model" }) {
      net::HttpCall call;
      call.endpoint = endpoint;
      call.request.target = target;
      const auto result = co_await mHttp.call(std::move(call));
      EXPECT_EQ(result.response.status, 404) << target;
    }
  });
  EXPECT_TRUE(mStore.reads.empty());
}

} // namespace lentilrack::dispatch
