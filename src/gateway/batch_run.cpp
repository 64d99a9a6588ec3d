#include "gateway/batch_run.h"

#include "net/error.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kConnectTimeout{ 250 };
/// The longest item of the deployments takes about 7 s undisturbed.
constexpr Millis kLongestRun{ 60'000 };
/// How often the dispatcher looks for servers without being told of a change.
constexpr Millis kDispatchPause{ 50 };
constexpr Millis kSupervisionPause{ 100 };
/// A run without any event is moved after this time: a queue in front of a
/// slot is rarely longer.
constexpr Millis kSilenceBeforeFirstEvent{ 1'500 };
/// A run that has begun gives an event about every 40 ms, and pauses for about
/// 0.9 s while weights are loaded.
constexpr Millis kSilenceBetweenEvents{ 1'300 };
/// A run is moved to a faster server when its own is this much slower than the
/// median; prompts are read again within a few milliseconds.
constexpr double kSlowServerFactor = 2.0;
constexpr Millis kPauseBetweenMoves{ 1'000 };
/// Pauses before an item is tried again.
constexpr Millis kAfterRefusal{ 25 };
constexpr Millis kAfterFailure{ 10 };
constexpr Millis kRewardPause{ 20 };
/// Results are gathered until a group is whole, but not longer than this.
constexpr Millis kLongestGathering{ 250 };
/// Shortest time between two writes, which keeps a batch under 10 a second.
constexpr Millis kWritePause{ 100 };
constexpr Millis kStorePause{ 50 };

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;

std::int64_t
parseNumber(const std::string& text)
{
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

/// One run of an item at one server.
struct BatchRun::RunResult
{
  explicit RunResult(const std::string& versionField)
    : cutter(versionField)
  {
  }

  core::EventCutter cutter;
  core::ServerEntry server;
  TimePoint lastEvent{};
  bool isAccepted = false;
  bool isOutOfOrder = false;
  bool hasOldWeights = false;
};

std::string
encodeChunk(const std::vector<StoredResult>& results)
{
  return std::accumulate(results.begin(),
                         results.end(),
                         std::string(),
                         [](std::string chunk, const StoredResult& result) {
                           chunk += std::to_string(result.item);
                           chunk += ' ';
                           chunk += result.text;
                           chunk += '\n';
                           return chunk;
                         });
}

std::vector<StoredResult>
decodeChunk(const std::string& chunk)
{
  std::vector<StoredResult> results;
  std::size_t start = 0;
  for (auto end = chunk.find('\n'); end != std::string::npos;
       end = chunk.find('\n', start)) {
    StoredResult result;
    const auto* last = chunk.data() + end;
    const auto parsed =
      std::from_chars(chunk.data() + start, last, result.item);
    if (parsed.ec == std::errc{} && parsed.ptr != last) {
      result.text.assign(parsed.ptr + 1, last);
      results.push_back(std::move(result));
    }
    start = end + 1;
  }
  return results;
}

BatchRun::BatchRun(Context& context,
                   ClusterView& cluster,
                   Forwarder& forwarder,
                   std::shared_ptr<const core::BatchSpec> spec,
                   BatchRecord record,
                   std::int64_t ownerRevision)
  : mContext(context)
  , mCluster(cluster)
  , mForwarder(forwarder)
  , mSpec(std::move(spec))
  , mRecord(std::move(record))
  , mOwnerRevision(ownerRevision)
  , mProgress(mSpec)
  , mRuns(mSpec->items.size())
  , mIsListed(mSpec->items.size(), false)
  , mWorkChanged(context.io)
  , mResultsChanged(context.io)
{
}

void
BatchRun::restore(std::vector<StoredResult> results)
{
  for (auto& result : results) {
    if (result.item < mProgress.size() && mProgress.finish(result.item)) {
      mIsListed[result.item] = true;
      mListed.push_back(std::move(result));
    }
  }
}

void
BatchRun::start()
{
  net::spawn(mContext.io, dispatch(), shared_from_this());
  net::spawn(mContext.io, superviseRuns(), shared_from_this());
  net::spawn(mContext.io, writeResults(), shared_from_this());
}

void
BatchRun::stop(const std::string& reason)
{
  if (mIsStopped) {
    return;
  }
  mIsStopped = true;
  mStoppedAt = Clock::now();
  mContext.log.info("batch_stopped",
                    { { "batch", mSpec->id },
                      { "reason", reason },
                      { "listed", mListed.size() },
                      { "total", mProgress.size() } });
  for (auto& run : mRuns) {
    if (run.cancel) {
      run.cancel->cancel();
    }
  }
  mWorkChanged.notify();
  mResultsChanged.notify();
  mReaders.notifyAll();
}

net::Awaitable<void>
BatchRun::handOver()
{
  const auto self = shared_from_this();
  stop("handed_over");
  StoreTransaction transaction;
  transaction.expectations = { { keys::owner(mSpec->id), mOwnerRevision } };
  transaction.deletes = { keys::owner(mSpec->id) };
  const auto commit = co_await mContext.store.commit(std::move(transaction));
  mContext.log.info(
    "batch_handed_over",
    { { "batch", mSpec->id },
      { "outcome", commit.error ? commit.error.message() : "done" } });
}

net::Awaitable<void>
BatchRun::waitForResults(std::size_t after, Millis most)
{
  const auto self = shared_from_this();
  const auto end = Clock::now() + most;
  while (mListed.size() <= after && mListed.size() < mProgress.size() &&
         !mIsStopped && Clock::now() < end) {
    co_await mReaders.wait(
      mContext.io,
      std::chrono::duration_cast<Millis>(end - Clock::now()) + Millis(1));
  }
}

const core::Route*
BatchRun::route() const
{
  return mContext.desired ? mContext.desired->match(mSpec->host, mSpec->path)
                          : nullptr;
}

net::Awaitable<void>
BatchRun::dispatch()
{
  while (!mIsStopped && !mProgress.allFinished()) {
    // The end may have become known before this run began.
    const auto known = mCluster.batches().find(mSpec->id);
    if (known != mCluster.batches().end() &&
        known->second.state == BatchState::Ended) {
      stop("ended");
      co_return;
    }
    const auto* batchRoute = route();
    const auto giveUpAt =
      mRecord.submittedAt +
      (batchRoute != nullptr ? batchRoute->itemLifetime : kLongestRun);
    const bool isTooOld = unixNow() >= giveUpAt;
    while (!mIsStopped && startNext()) {
      // Every free slot is used at once.
    }
    for (std::size_t i = 0; isTooOld && i < mProgress.size(); ++i) {
      giveUpItem(i, "lifetime");
    }
    const auto release = mProgress.nextRelease();
    const auto now = Clock::now();
    const auto pause =
      release && *release > now
        ? std::min(kDispatchPause,
                   std::chrono::duration_cast<Millis>(*release - now))
        : kDispatchPause;
    co_await mWorkChanged.wait(std::max(pause, Millis(1)));
  }
}

bool
BatchRun::startNext()
{
  const auto now = Clock::now();
  const auto item = mProgress.next(now);
  const auto* batchRoute = route();
  if (!item || batchRoute == nullptr) {
    return false;
  }
  const auto& spec = mSpec->items[*item];
  core::ServerNeed need;
  need.service = batchRoute->pickService(mContext.draw());
  need.model = mSpec->model;
  need.minVersion = mSpec->minVersion;
  need.freeSlotOnly = true;
  need.preferredDomain = mContext.settings.failureDomain;
  need.preferredServer = mServerOfGroup[spec.group];
  auto* server = mContext.registry.choose(need, now, mContext.draw());
  if (server == nullptr) {
    return false;
  }
  mServerOfGroup[spec.group] = server->entry.id;
  mProgress.begin(*item);
  auto& run = mRuns[*item];
  run.cancel = std::make_shared<net::CancelSignal>();
  run.server = server->entry;
  run.isGenerating = true;
  run.startedAt = now;
  run.lastActivity = now;
  run.eventsOfRun = 0;
  mContext.registry.begin(server->entry);
  net::spawn(mContext.io, runItem(*item, server->entry), shared_from_this());
  return true;
}

net::HttpCall
BatchRun::prepareCall(std::size_t item,
                      const core::ServerEntry& server,
                      std::shared_ptr<RunResult> run)
{
  const auto& names = mContext.format.headers();
  const auto& spec = mSpec->items[item];
  auto& state = mRuns[item];
  net::HttpCall call;
  call.endpoint = server.endpoint;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kLongestRun;
  call.cancel = state.cancel;
  call.request.method = "POST";
  call.request.target = spec.path;
  call.request.headers = spec.headers;
  call.request.headers.emplace_back("Host", mSpec->host);
  call.request.headers.emplace_back(names.requestId, spec.id);
  call.request.headers.emplace_back(names.expectedServer, server.id);
  const auto* batchRoute = route();
  if (batchRoute != nullptr && batchRoute->singleVersion) {
    state.text.clear();
  }
  if (state.text.lastNumber() > 0) {
    call.request.headers.emplace_back(names.lastEvent,
                                      std::to_string(state.text.lastNumber()));
  }
  call.request.body = spec.body;
  call.acceptHeader = [this, item, run](const net::HttpResponse& response) {
    const auto& header = mContext.format.headers();
    const auto echoed = net::headerValue(response.headers, header.requestId);
    if (!echoed.empty() && echoed != mSpec->items[item].id) {
      return false;
    }
    if (response.status != kOk) {
      return true;
    }
    const auto version =
      parseNumber(net::headerValue(response.headers, header.weightVersion));
    run->hasOldWeights = version < mSpec->minVersion;
    run->isAccepted = !run->hasOldWeights &&
                      !net::headerValue(response.headers, header.stamp).empty();
    if (run->isAccepted) {
      mRuns[item].text.beginRun(version);
      mContext.registry.noteVersion(run->server, mSpec->model, version);
    }
    return run->isAccepted;
  };
  call.onData = [this, item, run](std::string_view bytes) {
    if (run->isAccepted) {
      takeEvents(item, *run, bytes);
    }
  };
  return call;
}

void
BatchRun::takeEvents(std::size_t item, RunResult& run, std::string_view bytes)
{
  auto& state = mRuns[item];
  const auto now = Clock::now();
  for (const auto& event : run.cutter.take(bytes)) {
    if (run.isOutOfOrder) {
      return;
    }
    if (!state.text.append(event)) {
      run.isOutOfOrder = true;
      state.cancel->cancel();
      return;
    }
    if (event.version > 0) {
      mContext.registry.noteVersion(run.server, mSpec->model, event.version);
    }
    if (state.eventsOfRun > 0) {
      mContext.registry.succeeded(
        run.server,
        std::chrono::duration<double, std::milli>(now - run.lastEvent).count());
    }
    run.lastEvent = now;
    ++state.eventsOfRun;
  }
  state.lastActivity = now;
}

net::Awaitable<void>
BatchRun::runItem(std::size_t item, core::ServerEntry server)
{
  const auto run =
    std::make_shared<RunResult>(mContext.format.headers().weightVersionField);
  run->server = server;
  run->lastEvent = Clock::now();
  auto call = prepareCall(item, server, run);
  auto result = co_await mContext.http.call(std::move(call));
  mContext.registry.end(server);
  mRuns[item].isGenerating = false;
  mWorkChanged.notify();
  if (mIsStopped) {
    co_return;
  }
  judgeRun(item, result, *run);
  const bool isWhole = !result.error && run->isAccepted && !run->isOutOfOrder &&
                       !run->cutter.hasRest();
  if (isWhole) {
    mContext.metrics.observe("item_run_ms",
                             std::chrono::duration<double, std::milli>(
                               Clock::now() - mRuns[item].startedAt)
                               .count());
    co_await scoreItem(item);
  }
}

void
BatchRun::judgeRun(std::size_t item,
                   const net::HttpResult& result,
                   RunResult& run)
{
  const auto now = Clock::now();
  const auto& names = mContext.format.headers();
  const auto& server = run.server;
  std::string reason = "answered";
  if (run.hasOldWeights) {
    reason = "old_weights";
    mContext.registry.refused(server, now);
    putBack(item, kAfterRefusal);
  } else if (run.isOutOfOrder) {
    // The events that came before belong to the text; the rest is read again.
    reason = "events_out_of_order";
    mContext.registry.failed(server, now);
    putBack(item, kAfterFailure);
  } else if (result.error) {
    reason = result.error.message();
    const bool isStale = result.onKeptConnection && run.isAccepted == false &&
                         result.error == net::NetError::ConnectionLost;
    const bool isOwnChoice = result.error == net::NetError::Cancelled;
    if (!isStale && !isOwnChoice) {
      mContext.registry.failed(server, now);
      mServerOfGroup.erase(mSpec->items[item].group);
    }
    putBack(item, kAfterFailure);
  } else if (!net::headerValue(result.response.headers, names.notRun).empty() ||
             result.response.status == kMisdirected) {
    reason = "refused";
    if (result.response.status == kMisdirected) {
      mContext.registry.noteLeaving(server);
    } else {
      mContext.registry.refused(server, now);
    }
    mServerOfGroup.erase(mSpec->items[item].group);
    putBack(item, kAfterRefusal);
  } else if (result.response.status == kUnprocessable) {
    reason = "cannot_be_done";
    finish({ item, core::ItemOutcome::Dead, "", {}, "" });
  } else if (result.response.status == kServerError) {
    reason = "failed";
    const auto* batchRoute = route();
    const int most = batchRoute != nullptr ? batchRoute->maxAttempts : 1;
    if (mProgress.noteFailure(item) >= most) {
      finish({ item, core::ItemOutcome::Dead, "", {}, "" });
    } else {
      putBack(item, kAfterFailure);
    }
  } else if (!run.isAccepted || run.cutter.hasRest()) {
    reason = "not_whole";
    mContext.registry.failed(server, now);
    putBack(item, kAfterFailure);
  }
  if (reason != "answered") {
    mContext.metrics.increment("item_runs_broken_total");
    mContext.log.info("item_run",
                      { { "batch", mSpec->id },
                        { "item", mSpec->items[item].id },
                        { "server", server.id },
                        { "events", mRuns[item].text.lastNumber() },
                        { "status", result.response.status },
                        { "outcome", reason } });
  }
}

net::Awaitable<void>
BatchRun::scoreItem(std::size_t item)
{
  const auto& reward = mSpec->items[item].reward;
  auto& state = mRuns[item];
  core::ItemResult result{ item,
                           core::ItemOutcome::Completed,
                           state.text.text(),
                           state.text.versions(),
                           "" };
  const auto* batchRoute = route();
  if (batchRoute != nullptr && batchRoute->singleVersion &&
      result.versions.size() > 1) {
    putBack(item, kAfterFailure);
    co_return;
  }
  const auto& names = mContext.format.headers();
  // The run's own signal may have been used by its supervision just before the
  // answer was whole.
  state.cancel = std::make_shared<net::CancelSignal>();
  while (reward && result.score.empty()) {
    if (mIsStopped) {
      co_return;
    }
    const auto desired = mContext.desired;
    const auto* rewardRoute =
      desired ? desired->match(reward->host, reward->path) : nullptr;
    if (rewardRoute == nullptr) {
      co_await net::sleepFor(kDispatchPause);
      continue;
    }
    ServiceCall call;
    call.id = reward->id;
    call.service = rewardRoute->pickService(mContext.draw());
    call.request.method = "POST";
    call.request.target = reward->path;
    call.request.headers = { { "Host", reward->host },
                             { names.requestId, reward->id } };
    call.request.body = reward->body;
    call.maxAttempts = 2;
    call.isRepeatable = true;
    call.retriesFailures = false;
    call.mayHedge = true;
    call.deadline = Clock::now() + rewardRoute->timeout;
    call.cancel = state.cancel;
    const auto outcome = co_await mForwarder.call(std::move(call));
    const auto status = outcome.response.status;
    if (outcome.end == CallEnd::Answered && status / 100 == 2) {
      result.score = net::headerValue(outcome.response.headers, names.stamp);
      break;
    }
    mContext.log.info("reward_call",
                      { { "batch", mSpec->id },
                        { "item", mSpec->items[item].id },
                        { "request", reward->id },
                        { "server", outcome.server },
                        { "status", status },
                        { "outcome", outcome.reason } });
    const bool isFailure =
      outcome.end == CallEnd::Answered && status == kServerError;
    if (isFailure &&
        mProgress.noteRewardFailure(item) >= rewardRoute->maxAttempts) {
      result = { item, core::ItemOutcome::Dead, "", {}, "" };
      break;
    }
    co_await net::sleepFor(kRewardPause);
  }
  if (!mIsStopped) {
    finish(std::move(result));
  }
}

void
BatchRun::putBack(std::size_t item, Millis pause)
{
  mProgress.putBack(item, Clock::now() + pause);
  mWorkChanged.notify();
}

void
BatchRun::finish(core::ItemResult result)
{
  const auto item = result.item;
  if (!mProgress.finish(item)) {
    return;
  }
  if (mPending.empty()) {
    mFirstPendingAt = Clock::now();
  }
  mPending.push_back({ item, mContext.format.encodeResult(*mSpec, result) });
  mRuns[item].text.clear();
  mContext.metrics.increment(result.outcome == core::ItemOutcome::Completed
                               ? "items_completed_total"
                               : "items_dead_total");
  mResultsChanged.notify();
  mWorkChanged.notify();
}

void
BatchRun::giveUpItem(std::size_t item, const std::string& reason)
{
  if (mProgress.isFinished(item)) {
    return;
  }
  mContext.log.info("item_given_up",
                    { { "batch", mSpec->id },
                      { "item", mSpec->items[item].id },
                      { "reason", reason } });
  finish({ item, core::ItemOutcome::Dead, "", {}, "" });
  if (mRuns[item].cancel) {
    mRuns[item].cancel->cancel();
  }
}

net::Awaitable<void>
BatchRun::superviseRuns()
{
  while (!mIsStopped && !mProgress.allFinished()) {
    const auto now = Clock::now();
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      if (mRuns[i].isGenerating && !mRuns[i].cancel->cancelled()) {
        checkRun(i, now);
      }
    }
    co_await net::sleepFor(kSupervisionPause);
  }
}

void
BatchRun::checkRun(std::size_t item, TimePoint now)
{
  auto& run = mRuns[item];
  const auto* server =
    mContext.registry.find(run.server.id, run.server.startedAt);
  const bool isLoading = server != nullptr && now < server->loadingUntil;
  const auto allowed =
    run.eventsOfRun == 0 ? kSilenceBeforeFirstEvent : kSilenceBetweenEvents;
  if (isLoading) {
    run.lastActivity = std::max(run.lastActivity, now - allowed / 2);
    return;
  }
  if (now - run.lastActivity > allowed) {
    mContext.log.warning("item_silent",
                         { { "batch", mSpec->id },
                           { "item", mSpec->items[item].id },
                           { "server", run.server.id },
                           { "events", run.text.lastNumber() } });
    mContext.registry.failed(run.server, now);
    run.cancel->cancel();
    return;
  }
  const double median = mContext.registry.medianPace(run.server.service);
  const bool isSlow = server != nullptr && median > 0 && run.eventsOfRun > 0 &&
                      server->pace > kSlowServerFactor * median &&
                      now - run.movedAt > kPauseBetweenMoves;
  if (!isSlow || mProgress.next(now)) {
    return;
  }
  core::ServerNeed need;
  need.service = run.server.service;
  need.model = mSpec->model;
  need.minVersion = mSpec->minVersion;
  need.exclude = { run.server.id };
  need.freeSlotOnly = true;
  const auto* other = mContext.registry.choose(need, now, mContext.draw());
  if (other != nullptr && other->pace < server->pace / kSlowServerFactor) {
    run.movedAt = now;
    mServerOfGroup[mSpec->items[item].group] = other->entry.id;
    mContext.log.info("item_moved",
                      { { "batch", mSpec->id },
                        { "item", mSpec->items[item].id },
                        { "from", run.server.id },
                        { "to", other->entry.id },
                        { "pace_ms", server->pace },
                        { "median_ms", median } });
    run.cancel->cancel();
  }
}

bool
BatchRun::hasWholeGroupPending() const
{
  return std::ranges::any_of(mPending, [this](const StoredResult& result) {
    return mProgress.groupIsWhole(result.item);
  });
}

net::Awaitable<void>
BatchRun::writeResults()
{
  while (!mIsStopped && mListed.size() < mProgress.size()) {
    const bool isDue = !mPending.empty() &&
                       (hasWholeGroupPending() || mProgress.allFinished() ||
                        Clock::now() - mFirstPendingAt >= kLongestGathering);
    if (!isDue) {
      co_await mResultsChanged.wait(kLongestGathering);
      continue;
    }
    // A chunk stays well below the largest value of the store.
    const auto limit = mContext.settings.storeValueBytes / 2;
    std::vector<StoredResult> chunk;
    std::size_t size = 0;
    while (!mPending.empty() &&
           (chunk.empty() || size + mPending.front().text.size() < limit)) {
      size += mPending.front().text.size();
      chunk.push_back(std::move(mPending.front()));
      mPending.erase(mPending.begin());
    }
    const bool isWritten = co_await commitResults(chunk);
    if (mIsStopped) {
      co_return;
    }
    if (!isWritten) {
      stop("owned_elsewhere");
      co_return;
    }
    for (auto& result : chunk) {
      mIsListed[result.item] = true;
      mListed.push_back(std::move(result));
    }
    mReaders.notifyAll();
    co_await net::sleepFor(kWritePause);
  }
  if (!mIsStopped) {
    stop("finished");
  }
}

net::Awaitable<bool>
BatchRun::commitResults(const std::vector<StoredResult>& chunk)
{
  const auto key = keys::results(mSpec->id, mListed.size());
  const auto value = encodeChunk(chunk);
  const bool isLast = mListed.size() + chunk.size() == mProgress.size();
  while (!mIsStopped) {
    StoreTransaction transaction;
    transaction.expectations = { { keys::owner(mSpec->id), mOwnerRevision },
                                 { key, 0 } };
    transaction.writes = { { key, value, 0 } };
    if (isLast) {
      auto finished = mRecord;
      finished.state = BatchState::Finished;
      transaction.expectations.push_back(
        { keys::batch(mSpec->id), mRecord.revision });
      transaction.writes.push_back(
        { keys::batch(mSpec->id), finished.encode(), 0 });
      transaction.deletes = { keys::owner(mSpec->id) };
    }
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      mContext.log.info("results_written",
                        { { "batch", mSpec->id },
                          { "position", mListed.size() },
                          { "count", chunk.size() },
                          { "bytes", value.size() },
                          { "revision", commit.revision } });
      co_return true;
    }
    if (commit.error != StoreError::Conflict) {
      mContext.log.warning("results_not_written",
                           { { "batch", mSpec->id },
                             { "position", mListed.size() },
                             { "error", commit.error.message() } });
      co_await net::sleepFor(kStorePause);
      continue;
    }
    // An earlier try without an answer may have been done.
    const auto written = co_await mContext.store.read(key);
    if (!written) {
      co_await net::sleepFor(kStorePause);
      continue;
    }
    if (written.value()) {
      co_return written.value()->value == value;
    }
    const bool isOwner = co_await reclaim();
    if (!isOwner) {
      co_return false;
    }
  }
  co_return false;
}

net::Awaitable<bool>
BatchRun::reclaim()
{
  const auto self = Holder{ mContext.settings.instance, mContext.lifetime, 0 };
  while (!mIsStopped) {
    const auto owner = co_await mContext.store.read(keys::owner(mSpec->id));
    const auto record = co_await mContext.store.read(keys::batch(mSpec->id));
    if (!owner || !record) {
      co_await net::sleepFor(kStorePause);
      continue;
    }
    const auto known =
      record.value() ? BatchRecord::decode(*record.value()) : std::nullopt;
    if (!known || known->state != BatchState::Open) {
      co_return false;
    }
    mRecord.revision = known->revision;
    if (owner.value()) {
      const auto holder = Holder::decode(*owner.value());
      const bool isOwn = holder && mCluster.isSelf(*holder);
      mOwnerRevision = isOwn ? holder->revision : mOwnerRevision;
      co_return isOwn;
    }
    if (mCluster.lease() == 0) {
      co_await net::sleepFor(kStorePause);
      continue;
    }
    StoreTransaction transaction;
    transaction.expectations = { { keys::owner(mSpec->id), 0 } };
    transaction.writes = {
      { keys::owner(mSpec->id), self.encode(), mCluster.lease() }
    };
    const auto commit = co_await mContext.store.commit(std::move(transaction));
    if (!commit.error) {
      mOwnerRevision = commit.revision;
      co_return true;
    }
    co_await net::sleepFor(kStorePause);
  }
  co_return false;
}

} // namespace lentilrack::gateway
