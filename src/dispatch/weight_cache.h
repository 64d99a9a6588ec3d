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
  /// Directory of the cache's own.
  std::string directory;
  /// Bytes that the cached chunks may use.
  std::uint64_t diskLimit = 8ULL * 1024 * 1024 * 1024;
  /// How long a download is tried again before its requests fail.
  core::Millis downloadTime{ 20'000 };
  std::function<core::Millis(std::int64_t failures, double random)> backoff;
  core::Millis pollWait{ 20'000 };
  core::Millis pollRetry{ 500 };
};

/// Serves weights of the store to the engines of a failure domain, in the
/// store's own protocol. A chunk is read from the store once, however many
/// engines ask for it at the same time.
class WeightCache : public std::enable_shared_from_this<WeightCache>
{
public:
  WeightCache(net::asio::io_context& io,
              net::HttpClient& http,
              net::Metrics& metrics,
              net::Logger log,
              WeightCacheOptions options);

  /// False if the directory cannot be used.
  bool open();
  void addRoutes(net::HttpRouter& router);

  /// A chunk, from the disk or the store. Errors as
  /// WeightStoreClient::readChunk().
  net::Awaitable<core::Result<std::string>> chunk(ChunkKey key);

  const ChunkStore& disk() const { return mDisk; }

private:
  /// One read of the store that several requests wait for.
  struct Download
  {
    bool ended = false;
    std::error_code error;
    std::string data;
    std::vector<std::shared_ptr<net::Notifier>> waiting;
  };

  net::Awaitable<void> download(ChunkKey key, std::shared_ptr<Download> state);
  net::Awaitable<void> handleVersions(net::HttpExchange& exchange);
  net::Awaitable<void> handleChunk(net::HttpExchange& exchange);
  net::Awaitable<void> follow(std::string model);
  bool startFollowing(const std::string& model);

  net::asio::io_context& mIo;
  backends::WeightStoreClient mStore;
  net::Metrics& mMetrics;
  net::Logger mLog;
  WeightCacheOptions mOptions;
  ChunkStore mDisk;
  std::map<ChunkKey, std::shared_ptr<Download>> mDownloads;
  /// Models whose announcements are followed, with the newest one.
  std::map<std::string, backends::WeightVersion> mVersions;
};

} // namespace lentilrack::dispatch
