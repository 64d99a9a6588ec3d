#include "gateway/batch_run.h"

#include "core/decimal.h"
#include "gateway/item_score.h"
#include "gateway/server_answer.h"
#include "net/http_status.h"

#include <algorithm>

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

} // namespace

/// One run of an item at one server.
struct BatchRun::RunResult
{
  explicit RunResult(const std::string& versionField)
    : cutter(versionField)
  {
  }

  core::EventStreamParser cutter;
  core::ServerEntry server;
  TimePoint lastEvent{};
  bool isAccepted = false;
  bool isOutOfOrder = false;
  bool hasOldWeights = false;
};

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
  , mSubmittedAt(record.submittedAt)
  , mProgress(mSpec)
  , mRuns(mSpec->items.size())
  , mResults(context, cluster, mSpec->id, std::move(record), ownerRevision)
  , mWorkChanged(context.io)
{
}

void
BatchRun::restore(std::vector<StoredResult> results)
{
  std::erase_if(results, [this](const StoredResult& result) {
    return result.item >= mProgress.size() || !mProgress.finish(result.item);
  });
  mResults.restore(std::move(results));
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
                      { "listed", mResults.listed().size() },
                      { "total", mProgress.size() } });
  for (auto& run : mRuns) {
    if (run.cancel) {
      run.cancel->cancel();
    }
  }
  mWorkChanged.notify();
  mResults.stop();
}

net::Awaitable<void>
BatchRun::handOver()
{
  const auto self = shared_from_this();
  stop("handed_over");
  const auto error = co_await mResults.release();
  mContext.log.info("batch_handed_over",
                    { { "batch", mSpec->id },
                      { "outcome", error ? error.message() : "done" } });
}

net::Awaitable<void>
BatchRun::waitForResults(std::size_t after, Millis most)
{
  const auto self = shared_from_this();
  co_await mResults.waitForMore(after, most);
}

const core::Route*
BatchRun::route() const
{
  return mContext.desired
           ? mContext.desired->findRoute(mSpec->host, mSpec->path)
           : nullptr;
}

net::Awaitable<void>
BatchRun::dispatch()
{
  while (!mIsStopped && !mProgress.isComplete()) {
    // The end may have become known before this run began.
    const auto known = mCluster.batches().find(mSpec->id);
    if (known != mCluster.batches().end() &&
        known->second.state == BatchState::Ended) {
      stop("ended");
      co_return;
    }
    const auto* batchRoute = route();
    const auto giveUpAt =
      mSubmittedAt +
      (batchRoute != nullptr ? batchRoute->itemLifetime : kLongestRun);
    const bool isTooOld = unixNow() >= giveUpAt;
    while (!mIsStopped && startNext()) {
      // Every free slot is used at once.
    }
    for (std::size_t i = 0; isTooOld && i < mProgress.size(); ++i) {
      giveUpItem(i, "lifetime");
    }
    const auto release = mProgress.nextReleaseTime();
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
  const auto item = mProgress.nextItem(now);
  const auto* batchRoute = route();
  if (!item || batchRoute == nullptr) {
    return false;
  }
  const auto& spec = mSpec->items[*item];
  core::ServerRequirements need;
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
  mProgress.markRunning(*item);
  auto& run = mRuns[*item];
  run.cancel = std::make_shared<net::CancelSignal>();
  run.server = server->entry;
  run.isGenerating = true;
  run.startedAt = now;
  run.lastActivity = now;
  run.eventsOfRun = 0;
  mContext.registry.requestStarted(server->entry);
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
    if (!answersRequest(response, header, mSpec->items[item].id)) {
      return false;
    }
    if (response.status != net::status::kOk) {
      return true;
    }
    const auto version =
      core::parseDecimal<std::int64_t>(
        net::headerValue(response.headers, header.weightVersion))
        .value_or(0);
    run->hasOldWeights = version < mSpec->minVersion;
    run->isAccepted = !run->hasOldWeights &&
                      !net::headerValue(response.headers, header.stamp).empty();
    if (run->isAccepted) {
      mRuns[item].text.startRun(version);
      mContext.registry.recordVersion(run->server, mSpec->model, version);
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
  for (const auto& event : run.cutter.parseEvents(bytes)) {
    if (run.isOutOfOrder) {
      return;
    }
    if (!state.text.append(event)) {
      run.isOutOfOrder = true;
      state.cancel->cancel();
      return;
    }
    if (event.version > 0) {
      mContext.registry.recordVersion(run.server, mSpec->model, event.version);
    }
    // The pause for a load of weights says nothing of the server's speed.
    if (state.eventsOfRun > 0 && event.version == 0) {
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
  mContext.registry.requestEnded(server);
  mRuns[item].isGenerating = false;
  mWorkChanged.notify();
  if (mIsStopped) {
    co_return;
  }
  judgeRun(item, result, *run);
  const bool isWhole = !result.error && run->isAccepted && !run->isOutOfOrder &&
                       !run->cutter.hasPartialEvent();
  if (isWhole) {
    mContext.metrics.observe("item_run_ms",
                             std::chrono::duration<double, std::milli>(
                               Clock::now() - mRuns[item].startedAt)
                               .count());
    co_await scoreText(item);
  }
}

void
BatchRun::judgeRun(std::size_t item,
                   const net::HttpResult& result,
                   RunResult& run)
{
  const auto now = Clock::now();
  const auto& server = run.server;
  const auto answer = classifyAnswer(result, mContext.format.headers());
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
  } else if (answer != ServerAnswer::Answered) {
    reason = result.error ? result.error.message() : "refused";
    noteTrouble(mContext.registry, server, answer, now);
    if (answer != ServerAnswer::Cancelled &&
        answer != ServerAnswer::ClosedWhenIdle) {
      mServerOfGroup.erase(mSpec->items[item].group);
    }
    putBack(item, result.error ? kAfterFailure : kAfterRefusal);
  } else if (result.response.status == net::status::kUnprocessable) {
    reason = "cannot_be_done";
    finish({ item, core::ItemOutcome::Dead, "", {}, "" });
  } else if (result.response.status == net::status::kServerError) {
    reason = "failed";
    const auto* batchRoute = route();
    const int most = batchRoute != nullptr ? batchRoute->maxAttempts : 1;
    if (mProgress.countFailure(item) >= most) {
      finish({ item, core::ItemOutcome::Dead, "", {}, "" });
    } else {
      putBack(item, kAfterFailure);
    }
  } else if (!run.isAccepted || run.cutter.hasPartialEvent()) {
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
BatchRun::scoreText(std::size_t item)
{
  const auto& spec = mSpec->items[item];
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
  if (spec.reward) {
    // The run's own signal may have been used by its supervision just before
    // the answer was whole.
    state.cancel = std::make_shared<net::CancelSignal>();
    ScoreRequest request;
    request.batch = mSpec->id;
    request.item = spec.id;
    request.reward = *spec.reward;
    request.cancel = state.cancel;
    request.noteFailure = [this, item] {
      return mProgress.countRewardFailure(item);
    };
    const auto outcome =
      co_await scoreItem(mContext, mForwarder, std::move(request));
    if (outcome.end == ScoreEnd::Failed) {
      result = { item, core::ItemOutcome::Dead, "", {}, "" };
    }
    if (outcome.end == ScoreEnd::Cancelled) {
      co_return;
    }
    result.score = outcome.score;
  }
  if (!mIsStopped) {
    finish(std::move(result));
  }
}

void
BatchRun::putBack(std::size_t item, Millis pause)
{
  mProgress.requeue(item, Clock::now() + pause);
  mWorkChanged.notify();
}

void
BatchRun::finish(core::ItemResult result)
{
  const auto item = result.item;
  if (!mProgress.finish(item)) {
    return;
  }
  StoredResult stored{ item, mContext.format.encodeResult(*mSpec, result) };
  mResults.add(std::move(stored), mProgress.isGroupComplete(item));
  mRuns[item].text.clear();
  mContext.metrics.increment(result.outcome == core::ItemOutcome::Completed
                               ? "items_completed_total"
                               : "items_dead_total");
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
  while (!mIsStopped && !mProgress.isComplete()) {
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
  const double median =
    mContext.registry.medianMillisPerUnit(run.server.service);
  const bool isSlow = server != nullptr && median > 0 && run.eventsOfRun > 0 &&
                      server->millisPerUnit > kSlowServerFactor * median &&
                      now - run.movedAt > kPauseBetweenMoves;
  if (!isSlow || mProgress.nextItem(now)) {
    return;
  }
  core::ServerRequirements need;
  need.service = run.server.service;
  need.model = mSpec->model;
  need.minVersion = mSpec->minVersion;
  need.exclude = { run.server.id };

  need.freeSlotOnly = true;
  const auto* other = mContext.registry.choose(need, now, mContext.draw());
  if (other != nullptr &&
      other->millisPerUnit < server->millisPerUnit / kSlowServerFactor) {
    run.movedAt = now;

    mServerOfGroup[mSpec->items[item].group] = other->entry.id;
    mContext.log.info("item_moved",
                      { { "batch", mSpec->id },
                        { "item", mSpec->items[item].id },
                        { "from", run.server.id },
                        { "to", other->entry.id },
                        { "pace_ms", server->millisPerUnit },
                        { "median_ms", median } });
    run.cancel->cancel();
  }
}

net::Awaitable<void>
BatchRun::writeResults()
{
  const auto ending = co_await mResults.write();
  if (!mIsStopped) {
    stop(ending == ResultLog::Ending::Whole ? "finished" : "owned_elsewhere");
  }
}

} // namespace lentilrack::gateway
