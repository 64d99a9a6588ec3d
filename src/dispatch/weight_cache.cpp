#include "dispatch/weight_cache.h"

#include "backends/error.h"
#include "core/weight_rollout.h"
#include "net/random.h"
#include "wire/object_reader.h"

#include <algorithm>

namespace lentilrack::dispatch {

using backends::BackendError;
using core::Clock;
using core::Millis;
using net::Awaitable;

namespace {

constexpr std::size_t kMostFollowed = 256;
constexpr Millis kLongestPoll{ 30'000 };
/// How often a waiting poll looks for a new version.
constexpr Millis kPollStep{ 20 };
/// Bounds the polls of a store that answers "nothing new" without waiting.
constexpr Millis kEmptyPause{ 50 };

net::HttpResponse
plainResponse(int status, std::string message)
{
  net::HttpResponse response;
  response.status = status;
  response.body = wire::Json{ { "error", std::move(message) } }.dump();
  return response;
}

net::HttpResponse
failureResponse(std::error_code error)
{
  if (error == BackendError::NotFound) {
    return plainResponse(404, "not_found");
  }
  if (error == BackendError::RateLimited) {
    auto response = plainResponse(429, "rate_limited");
    response.headers.emplace_back("Retry-After", "1");
    return response;
  }
  return plainResponse(503, "store_unavailable");
}

net::HttpResponse
versionResponse(const backends::WeightVersion& version)
{
  net::HttpResponse response;
  response.body = wire::Json{
    { "version", version.version },
    { "chunks", version.chunks },
    { "bytes", version.bytes }
  }.dump();
  return response;
}

} // namespace

WeightCache::WeightCache(net::asio::io_context& io,
                         net::HttpClient& http,
                         net::Metrics& metrics,
                         net::Logger log,
                         WeightCacheOptions options)
  : mIo(io)
  , mStore(http)
  , mMetrics(metrics)
  , mLog(std::move(log))
  , mOptions(std::move(options))
  , mDisk(mOptions.directory, mOptions.diskLimit)
{
  if (!mOptions.backoff) {
    mOptions.backoff = core::loadBackoff;
  }
}

bool
WeightCache::open()
{
  if (!mDisk.open()) {
    mLog.error("Cannot use the directory {} for weights.", mOptions.directory);
    return false;
  }
  mLog.info("The weight cache holds {} chunks of {} bytes in all.",
            mDisk.size(),
            mDisk.bytes());
  return true;
}

void
WeightCache::addRoutes(net::HttpRouter& router)
{
  const auto self = shared_from_this();
  router.add("GET", "/versions/:model", [self](net::HttpExchange& exchange) {
    return self->handleVersions(exchange);
  });
  router.add("GET",
             "/weights/:model/:version/:chunk",
             [self](net::HttpExchange& exchange) {
               return self->handleChunk(exchange);
             });
}

Awaitable<core::Result<std::string>>
WeightCache::chunk(ChunkKey key)
{
  const auto self = shared_from_this();
  if (auto cached = mDisk.read(key)) {
    mMetrics.increment("weight_cache_hits_total");
    co_return std::move(*cached);
  }
  auto& slot = mDownloads[key];
  const bool first = slot == nullptr;
  if (first) {
    slot = std::make_shared<Download>();
  }
  const auto state = slot;
  if (first) {
    net::spawn(mIo, download(key, state), self);
  }
  const auto wake = std::make_shared<net::Notifier>(mIo);
  state->waiting.push_back(wake);
  while (!state->ended) {
    co_await wake->wait(mOptions.downloadTime);
  }
  if (state->error) {
    co_return state->error;
  }
  co_return state->data;
}

Awaitable<void>
WeightCache::download(ChunkKey key, std::shared_ptr<Download> state)
{
  const auto end = Clock::now() + mOptions.downloadTime;
  for (std::int64_t failures = 1;; ++failures) {
    auto data = co_await mStore.readChunk(
      mOptions.store, key.model, key.version, key.number);
    mMetrics.increment("weight_cache_store_reads_total");
    if (data) {
      state->data = std::move(data.value());
      state->error = {};
      break;
    }
    state->error = data.error();
    const auto pause = mOptions.backoff(failures, net::randomShare());
    const bool final = state->error == BackendError::NotFound;
    if (final || Clock::now() + pause >= end) {
      break;
    }
    co_await net::sleepFor(pause);
  }
  if (!state->error && !mDisk.write(key, state->data)) {
    mLog.warning("Chunk {} of version {} of {} cannot be written to the disk.",
                 key.number,
                 key.version,
                 key.model);
  }
  state->ended = true;
  mDownloads.erase(key);
  for (const auto& wake : state->waiting) {
    wake->notify();
  }
}

Awaitable<void>
WeightCache::handleChunk(net::HttpExchange& exchange)
{
  const auto self = shared_from_this();
  const auto version = parseCount(exchange.parameter("version"));
  const auto number = parseCount(exchange.parameter("chunk"));
  const auto model = exchange.parameter("model");
  net::HttpResponse response;
  if (!version || !number || !isCacheableModel(model)) {
    response = plainResponse(404, "not_found");
  } else {
    ChunkKey key{ model, *version, *number };
    auto data = co_await chunk(std::move(key));
    if (data) {
      response.contentType = "application/octet-stream";
      response.headers.emplace_back("X-Checksum",
                                    backends::chunkChecksum(data.value()));
      response.body = std::move(data.value());
    } else {
      response = failureResponse(data.error());
    }
  }
  co_await exchange.respond(std::move(response));
}

bool
WeightCache::startFollowing(const std::string& model)
{
  if (mVersions.contains(model)) {
    return true;
  }
  if (!isCacheableModel(model) || mVersions.size() >= kMostFollowed) {
    return false;
  }
  mVersions[model] = {};
  net::spawn(mIo, follow(model), shared_from_this());
  return true;
}

Awaitable<void>
WeightCache::follow(std::string model)
{
  for (;;) {
    const auto after = mVersions[model].version;
    const auto newest = co_await mStore.waitForNewerVersion(
      mOptions.store, model, after, mOptions.pollWait);
    if (!newest) {
      co_await net::sleepFor(mOptions.pollRetry);
    } else if (!newest.value()) {
      co_await net::sleepFor(kEmptyPause);
    } else {
      mVersions[model] = *newest.value();
    }
  }
}

Awaitable<void>
WeightCache::handleVersions(net::HttpExchange& exchange)
{
  const auto self = shared_from_this();
  const auto model = exchange.parameter("model");
  const auto after = parseCount(exchange.request().query("after"));
  const auto wait = parseCount(exchange.request().query("timeout_ms"));
  if (!after || !startFollowing(model)) {
    auto response = plainResponse(404, "not_found");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto end =
    Clock::now() + std::min(Millis(wait.value_or(0)), kLongestPoll);
  while (mVersions[model].version <= *after && Clock::now() < end &&
         !exchange.clientGone()) {
    co_await net::sleepFor(kPollStep);
  }
  // An engine that is told to load asks without waiting, possibly before this
  // cache has heard of the version.
  const bool immediate = wait.value_or(0) == 0;
  if (immediate && mVersions[model].version <= *after) {
    const auto read = co_await mStore.waitForNewerVersion(
      mOptions.store, model, *after, Millis(0));
    if (read && read.value() &&
        read.value()->version > mVersions[model].version) {
      mVersions[model] = *read.value();
    }
  }
  const auto& newest = mVersions[model];
  auto response = newest.version > *after
                    ? versionResponse(newest)
                    : net::HttpResponse{ 204, "", {}, "" };
  co_await exchange.respond(std::move(response));
}

} // namespace lentilrack::dispatch
