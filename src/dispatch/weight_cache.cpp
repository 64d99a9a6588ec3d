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

constexpr std::size_t kMaxWatchedModels = 256;
constexpr Millis kMaxPollTimeout{ 30'000 };
/// Interval at which a waiting poll checks for a new version.
constexpr Millis kVersionCheckInterval{ 20 };
/// Limits the poll rate if the store reports "no new version" without waiting.
constexpr Millis kEmptyPollPause{ 50 };

net::HttpResponse
errorResponse(int status, std::string message)
{
  net::HttpResponse response;
  response.status = status;
  response.body = wire::Json{ { "error", std::move(message) } }.dump();
  return response;
}

net::HttpResponse
responseForError(std::error_code error)
{
  if (error == BackendError::NotFound) {
    return errorResponse(404, "not_found");
  }
  if (error == BackendError::RateLimited) {
    auto response = errorResponse(429, "rate_limited");
    response.headers.emplace_back("Retry-After", "1");
    return response;
  }
  return errorResponse(503, "store_unavailable");
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
  , mStoreClient(http)
  , mMetrics(metrics)
  , mLog(std::move(log))
  , mOptions(std::move(options))
  , mChunkStore(mOptions.directory, mOptions.diskLimit)
{
  if (!mOptions.backoff) {
    mOptions.backoff = core::loadBackoff;
  }
}

bool
WeightCache::open()
{
  if (!mChunkStore.open()) {
    mLog.error("Cannot use directory {} for the weight cache.",
               mOptions.directory);
    return false;
  }
  mLog.info("Opened the weight cache with {} chunks, {} bytes in total.",
            mChunkStore.size(),
            mChunkStore.bytes());
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
  if (auto cached = mChunkStore.read(key)) {
    mMetrics.increment("weight_cache_hits_total");
    co_return std::move(*cached);
  }
  auto& pending = mDownloads[key];
  const bool isFirst = pending == nullptr;
  if (isFirst) {
    pending = std::make_shared<Download>();
  }
  const auto state = pending;
  if (isFirst) {
    net::spawn(mIo, download(key, state), self);
  }
  const auto wake = std::make_shared<net::Notifier>(mIo);
  state->waiters.push_back(wake);
  while (!state->isFinished) {
    co_await wake->wait(mOptions.downloadTimeout);
  }
  if (state->error) {
    co_return state->error;
  }
  co_return state->data;
}

Awaitable<void>
WeightCache::download(ChunkKey key, std::shared_ptr<Download> state)
{
  const auto end = Clock::now() + mOptions.downloadTimeout;
  for (std::int64_t failures = 1;; ++failures) {
    auto data = co_await mStoreClient.readChunk(
      mOptions.store, key.model, key.version, key.number);
    mMetrics.increment("weight_cache_store_reads_total");
    if (data) {
      state->data = std::move(data.value());
      state->error = {};
      break;
    }
    state->error = data.error();
    const auto pause = mOptions.backoff(failures, net::randomFraction());
    const bool isPermanent = state->error == BackendError::NotFound;
    if (isPermanent || Clock::now() + pause >= end) {
      break;
    }
    co_await net::sleepFor(pause);
  }
  if (!state->error && !mChunkStore.write(key, state->data)) {
    mLog.warning(
      "Cannot write chunk {} of version {} of {} to the weight cache.",
      key.number,
      key.version,
      key.model);
  }
  state->isFinished = true;
  mDownloads.erase(key);
  for (const auto& wake : state->waiters) {
    wake->notify();
  }
}

Awaitable<void>
WeightCache::handleChunk(net::HttpExchange& exchange)
{
  const auto self = shared_from_this();
  const auto version = parseNonNegative(exchange.pathParameter("version"));
  const auto number = parseNonNegative(exchange.pathParameter("chunk"));
  const auto model = exchange.pathParameter("model");
  net::HttpResponse response;
  if (!version || !number || !isCacheableModel(model)) {
    response = errorResponse(404, "not_found");
  } else {
    ChunkKey key{ model, *version, *number };
    auto data = co_await chunk(std::move(key));
    if (data) {
      response.contentType = "application/octet-stream";
      response.headers.emplace_back("X-Checksum",
                                    backends::chunkChecksum(data.value()));
      response.body = std::move(data.value());
    } else {
      response = responseForError(data.error());
    }
  }
  co_await exchange.respond(std::move(response));
}

bool
WeightCache::startWatching(const std::string& model)
{
  if (mNewestVersions.contains(model)) {
    return true;
  }
  if (!isCacheableModel(model) || mNewestVersions.size() >= kMaxWatchedModels) {
    return false;
  }
  mNewestVersions[model] = {};
  net::spawn(mIo, watchModel(model), shared_from_this());
  return true;
}

Awaitable<void>
WeightCache::watchModel(std::string model)
{
  for (;;) {
    const auto after = mNewestVersions[model].version;
    const auto newest = co_await mStoreClient.waitForNewerVersion(
      mOptions.store, model, after, mOptions.pollTimeout);
    if (!newest) {
      co_await net::sleepFor(mOptions.pollRetryInterval);
    } else if (!newest.value()) {
      co_await net::sleepFor(kEmptyPollPause);
    } else {
      mNewestVersions[model] = *newest.value();
    }
  }
}

Awaitable<void>
WeightCache::handleVersions(net::HttpExchange& exchange)
{
  const auto self = shared_from_this();
  const auto model = exchange.pathParameter("model");
  const auto after = parseNonNegative(exchange.request().query("after"));
  const auto wait = parseNonNegative(exchange.request().query("timeout_ms"));
  if (!after || !startWatching(model)) {
    auto response = errorResponse(404, "not_found");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto end =
    Clock::now() + std::min(Millis(wait.value_or(0)), kMaxPollTimeout);
  while (mNewestVersions[model].version <= *after && Clock::now() < end &&
         !exchange.isClientDisconnected()) {
    co_await net::sleepFor(kVersionCheckInterval);
  }
  // An engine that is told to load a version polls with a waiting time of 0. If
  // this cache does not know the version yet, it asks the store, so that the
  // engine does not fail to find the version.
  const bool isImmediate = wait.value_or(0) == 0;
  if (isImmediate && mNewestVersions[model].version <= *after) {
    const auto read = co_await mStoreClient.waitForNewerVersion(
      mOptions.store, model, *after, Millis(0));
    if (read && read.value() &&
        read.value()->version > mNewestVersions[model].version) {
      mNewestVersions[model] = *read.value();
    }
  }
  const auto& newest = mNewestVersions[model];
  auto response = newest.version > *after
                    ? versionResponse(newest)
                    : net::HttpResponse{ 204, "", {}, "" };
  co_await exchange.respond(std::move(response));
}

} // namespace lentilrack::dispatch
