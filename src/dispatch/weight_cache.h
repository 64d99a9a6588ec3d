#pragma once

#include "backends/weight_store_client.h"
#include "dispatch/chunk_store.h"
#include "net/http_router.h"
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

struct WeightCacheOptions
{
  core::Endpoint store;
  /// Directory for the cached chunks; nothing else may use it.
  std::string directory;
  /// Limit on the total size of the cached chunks, in bytes.
  std::uint64_t diskLimit = 8ULL * 1024 * 1024 * 1024;
  /// How long a failing download is retried. When this time is over, the
  /// requests that wait for the chunk fail.
  core::Millis downloadTimeout{ 20'000 };
  /// Returns the pause after a number of failed reads in a row; `random` is in
  /// [0, 1). If empty, core::loadBackoff is used.
  std::function<core::Millis(std::int64_t failures, double random)> backoff;
  /// How long a poll of the store may wait for a new version.
  core::Millis pollTimeout{ 20'000 };
  /// Pause after a failed poll.
  core::Millis pollRetryInterval{ 500 };
};

/// Caches weights on disk for the engines of a failure domain. Serves them by
/// the same protocol as the weight store. Concurrent requests for a chunk share
/// one read of the store.
class WeightCache : public std::enable_shared_from_this<WeightCache>
{
public:
  WeightCache(net::asio::io_context& io,
              net::HttpClient& http,
              net::Metrics& metrics,
              net::Logger log,
              WeightCacheOptions options);

  /// Opens the cache directory. Returns false if it cannot be used.
  bool open();
  /// Registers the paths for versions and chunks.
  void addRoutes(net::HttpRouter& router);

  /// Returns a chunk of weights from the disk, or from the store if the chunk
  /// is not on the disk. Errors as for WeightStoreClient::readChunk().
  net::Awaitable<core::Result<std::string>> chunk(ChunkKey key);

  const ChunkStore& chunkStore() const { return mChunkStore; }

private:
  /// A read of one chunk from the store, shared by all requests for the chunk.
  struct Download
  {
    bool isFinished = false;
    std::error_code error;
    std::string data;
    std::vector<std::shared_ptr<net::Notifier>> waiters;
  };

  net::Awaitable<void> download(ChunkKey key, std::shared_ptr<Download> state);
  net::Awaitable<void> handleVersions(net::HttpExchange& exchange);
  net::Awaitable<void> handleChunk(net::HttpExchange& exchange);
  /// Keeps the newest version of the model up to date, until the process ends.
  net::Awaitable<void> watchModel(std::string model);
  /// Starts watchModel() for the model unless it runs already. Returns false if
  /// the model cannot be cached or too many models are watched.
  bool startWatching(const std::string& model);

  net::asio::io_context& mIo;
  backends::WeightStoreClient mStoreClient;
  net::Metrics& mMetrics;
  net::Logger mLog;
  WeightCacheOptions mOptions;
  ChunkStore mChunkStore;
  std::map<ChunkKey, std::shared_ptr<Download>> mDownloads;
  /// Newest known version by model, for the models that are watched.
  std::map<std::string, backends::WeightVersion> mNewestVersions;
};

} // namespace lentilrack::dispatch
