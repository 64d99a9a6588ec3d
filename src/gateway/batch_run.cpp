#include "gateway/batch_run.h"

#include "core/decimal.h"
#include "gateway/attempt_outcome.h"
#include "gateway/item_requests.h"
#include "gateway/item_score.h"
#include "gateway/read_limits.h"
#include "net/http_status.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kConnectTimeout{ 250 };
/// Maximum time of one run. The longest items of known deployments take about 7
/// s on an idle server.
constexpr Millis kMaxRunTime{ 60'000 };
/// How often to look for servers with free slots when no change is notified.
constexpr Millis kDispatchInterval{ 50 };
/// Delays before an item is run again after a refusal or a failure.
constexpr Millis kRefusalRetryDelay{ 25 };
constexpr Millis kFailureRetryDelay{ 10 };
constexpr Millis kInvalidRetryDelay{ 5'000 };

std::size_t
memoryOf(const core::BatchSpec& spec)
{
  constexpr std::size_t kItemOverhead = 1'000;
  std::size_t bytes = 0;
  for (const auto& item : spec.items) {
    bytes += item.body.size() + kItemOverhead;
  }
  return bytes;
}

} // namespace

/// The execution of one item on one server.
struct BatchRun::ServerRun
{
  explicit ServerRun(const std::string& versionField)
    : eventParser(versionField)
  {
  }

  core::EventStreamParser eventParser;
  core::ServerEntry server;
  TimePoint lastEvent{};
  /// True once a response with a stamp and with recent enough weights has
  /// begun.
  bool isAccepted = false;
  /// True once an event did not have the number after that of the event before,
  /// or the event or the text was too long.
  bool isOutOfOrder = false;
  /// True if the server responded with older weights than the batch allows.
  bool hasStaleWeights = false;
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
  , mMemoryEstimate(memoryOf(*mSpec))
  , mSubmittedAt(record.submittedAt)
  , mProgress(mSpec)
  , mItemStates(mSpec->items.size())
  , mPrompts(mSpec->model)
  , mResults(context, cluster, *mSpec, std::move(record), ownerRevision)
  , mWorkChanged(context.io)
{
}

void
BatchRun::restore(std::vector<StoredResult> results)
{
  // The stored text does not tell which items were given up, so all of them
  // count as completed. Other groups then run later than they should if the
  // trainer does not count a group, but they do run.
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
                      { "listed", mResults.committed().size() },
                      { "total", mProgress.size() } });
  for (auto& run : mItemStates) {
    if (run.cancel) {
      run.cancel->cancel();
    }
  }
  countDiscardedAtEnd(reason);
  mWorkChanged.notify();
  mResults.stop();
}

void
BatchRun::stopIfOwnedElsewhere()
{
  if (!mIsStopped && mResults.isOwnedElsewhere()) {
    stop("owned_elsewhere");
  }
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
BatchRun::waitForResults(std::size_t after, Millis maxWait)
{
  const auto self = shared_from_this();
  co_await mResults.waitForMore(after, maxWait);
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
    // A trainer may have ended the batch before this run was registered in this
    // process. Nobody has stopped the run in that case.
    const auto known = mCluster.batches().find(mSpec->id);
    if (known != mCluster.batches().end() &&
        known->second.state == BatchState::Ended) {
      stop("ended");
      co_return;
    }
    const auto* batchRoute = route();
    const auto expiresAt =
      mSubmittedAt +
      (batchRoute != nullptr ? batchRoute->itemLifetime : kMaxRunTime);
    const bool isExpired = unixNow() >= expiresAt;
    while (!mIsStopped && startNextItem()) {
      // Fill all free slots before waiting.
    }
    for (std::size_t i = 0; isExpired && i < mProgress.size(); ++i) {
      abandonItem(i, "lifetime");
    }
    const auto release = mProgress.nextReleaseTime();
    const auto now = Clock::now();
    const auto pause =
      release && *release > now
        ? std::min(kDispatchInterval,
                   std::chrono::duration_cast<Millis>(*release - now))
        : kDispatchInterval;
    co_await mWorkChanged.wait(std::max(pause, Millis(1)));
  }
}

net::HttpCall
BatchRun::prepareCall(std::size_t item,
                      const core::ServerEntry& server,
                      std::shared_ptr<ServerRun> run)
{
  const auto& names = mContext.format.headers();
  const auto& spec = mSpec->items[item];
  auto& state = mItemStates[item];
  net::HttpCall call;
  call.endpoint = server.endpoint;
  call.connectTimeout = kConnectTimeout;
  call.timeout = kMaxRunTime;
  call.cancel = state.cancel;
  call.request = itemRequestHead(*mSpec, spec, names);
  call.request.headers.emplace_back(names.expectedServer, server.id);
  const auto* batchRoute = route();
  if (batchRoute != nullptr && batchRoute->singleVersion) {
    countDiscarded(state.text.lastNumber(), state.endCause);
    state.text.clear();
    state.endCause.clear();
  }
  if (state.text.lastNumber() > 0) {
    call.request.headers.emplace_back(names.lastEvent,
                                      std::to_string(state.text.lastNumber()));
  }
  call.request.body = spec.body;
  call.acceptHeader = [this, item, run](const net::HttpResponse& response,
                                        bool) {
    const auto& header = mContext.format.headers();
    if (response.status != net::status::kOk) {
      return true;
    }
    const auto version =
      core::parseDecimal<std::int64_t>(
        net::headerValue(response.headers, header.weightVersion))
        .value_or(0);
    run->hasStaleWeights = version < mSpec->minVersion;
    run->isAccepted = !run->hasStaleWeights &&
                      !net::headerValue(response.headers, header.stamp).empty();
    if (run->isAccepted) {
      mItemStates[item].text.startRun(version);
      mContext.registry.recordVersion(run->server, mSpec->model, version);
      recordPrompt(item, run->server);
    }
    return run->isAccepted;
  };
  call.heldBytes = [this, item, run] {
    return mItemStates[item].text.text().size() +
           run->eventParser.partialBytes();
  };
  call.onData = [this, item, run](std::string_view bytes) {
    if (run->isAccepted) {
      processEvents(item, *run, bytes);
    }
  };
  return call;
}

void
BatchRun::processEvents(std::size_t item,
                        ServerRun& run,
                        std::string_view bytes)
{
  auto& state = mItemStates[item];
  const auto now = Clock::now();
  for (const auto& event : run.eventParser.parseEvents(bytes)) {
    if (run.isOutOfOrder) {
      return;
    }
    if (!state.text.append(event)) {
      run.isOutOfOrder = true;
      state.cancel->cancel();
      return;
    }
    if (state.text.text().size() > kMaxItemTextBytes) {
      countDiscarded(state.text.lastNumber(), "too_long");
      state.text.clear();
      run.isOutOfOrder = true;
      state.cancel->cancel();
      return;
    }
    mContext.metrics.increment("item_events_total");
    if (state.eventsInRun == 0) {
      mContext.registry.firstEventBound(run.server.service)
        .record(std::chrono::duration_cast<Millis>(now - state.startedAt));
    }
    if (event.version > 0) {
      mContext.registry.recordVersion(run.server, mSpec->model, event.version);
    }
    // An event with a version reports that new weights were loaded. The pause
    // before such an event is not measured, because it says nothing about the
    // speed of the server.
    if (state.eventsInRun > 0 && event.version == 0) {
      mContext.registry.succeeded(
        run.server,
        std::chrono::duration<double, std::milli>(now - run.lastEvent).count());
    }
    run.lastEvent = now;
    ++state.eventsInRun;
    // Other bytes do not count, or a stalled server that sends a byte now and
    // then would keep its item.
    state.lastActivity = now;
  }
  if (run.eventParser.isOverlong()) {
    run.isOutOfOrder = true;
    state.cancel->cancel();
  }
}

net::Awaitable<void>
BatchRun::runItem(std::size_t item, core::ServerEntry server)
{
  const auto run =
    std::make_shared<ServerRun>(mContext.format.headers().weightVersionField);
  run->server = server;
  run->lastEvent = Clock::now();
  auto call = prepareCall(item, server, run);
  auto result = co_await mContext.servers.call(
    server, std::move(call), ServerRequestKind::Item);
  releaseSlot(item, server);
  mItemStates[item].isGenerating = false;
  mWorkChanged.notify();
  if (mIsStopped) {
    co_return;
  }
  handleRunEnd(item, result, *run);
  const bool hasCompleteOutput = !result.error && run->isAccepted &&
                                 !run->isOutOfOrder &&
                                 !run->eventParser.hasPartialEvent();
  if (hasCompleteOutput) {
    mProgress.recordLength(mItemStates[item].text.lastNumber(),
                           mSpec->items[item].expectedLength);
    mContext.metrics.observe("item_run_ms",
                             std::chrono::duration<double, std::milli>(
                               Clock::now() - mItemStates[item].startedAt)
                               .count());
    co_await scoreText(item);
  }
}

void
BatchRun::handleRunEnd(std::size_t item,
                       const net::HttpResult& result,
                       ServerRun& run)
{
  const auto now = Clock::now();
  const auto& server = run.server;
  const auto attemptOutcome =
    classifyAttempt(result, mContext.format.headers());
  std::string reason = "answered";
  if (run.hasStaleWeights) {
    reason = "old_weights";
    mContext.registry.refused(server, now);
    requeue(item, kRefusalRetryDelay);
  } else if (run.isOutOfOrder) {
    // The events received so far are valid and kept. The next run continues
    // after the last of them.
    reason = "events_out_of_order";
    mContext.registry.failed(server, now);
    requeue(item, kFailureRetryDelay);
  } else if (attemptOutcome == AttemptOutcome::Invalid) {
    // No server can be sent this item, but it must not be given up before the
    // end of its lifetime. Such batches are refused; an earlier version may
    // have stored one.
    reason = "invalid_request";
    requeue(item, kInvalidRetryDelay);
  } else if (attemptOutcome == AttemptOutcome::RateLimited) {
    // The registry knows when the server takes the next request.
    requeue(item, kRefusalRetryDelay);
  } else if (attemptOutcome != AttemptOutcome::Answered) {
    reason = result.error ? result.error.message() : "refused";
    recordFailedAttempt(mContext.registry, server, attemptOutcome, now);
    if (attemptOutcome != AttemptOutcome::Cancelled &&
        attemptOutcome != AttemptOutcome::ClosedWhenIdle) {
      mPrompts.recordFailure(mSpec->items[item].group, server);
    }
    requeue(item, result.error ? kFailureRetryDelay : kRefusalRetryDelay);
  } else if (result.response.status == net::status::kUnprocessable) {
    reason = "cannot_be_done";
    finish({ item, core::ItemOutcome::GivenUp, "", {}, "" });
  } else if (result.response.status == net::status::kServerError) {
    reason = "failed";
    const auto* batchRoute = route();
    const int attemptLimit =
      batchRoute != nullptr ? batchRoute->maxAttempts : 1;
    if (mProgress.countFailure(item) >= attemptLimit) {
      finish({ item, core::ItemOutcome::GivenUp, "", {}, "" });
    } else {
      requeue(item, kFailureRetryDelay);
    }
  } else if (!run.isAccepted || run.eventParser.hasPartialEvent()) {
    reason = "not_whole";
    mContext.registry.failed(server, now);
    requeue(item, kFailureRetryDelay);
  }
  auto& endCause = mItemStates[item].endCause;
  if (attemptOutcome != AttemptOutcome::Cancelled || endCause.empty()) {
    endCause = "server";
  }
  if (reason != "answered") {
    mContext.metrics.increment("item_runs_broken_total");
    mContext.log.info("item_run",
                      { { "batch", mSpec->id },
                        { "item", mSpec->items[item].id },
                        { "server", server.id },
                        { "events", mItemStates[item].text.lastNumber() },
                        { "status", result.response.status },
                        { "outcome", reason } });
  }
}

net::Awaitable<void>
BatchRun::scoreText(std::size_t item)
{
  const auto& spec = mSpec->items[item];
  auto& state = mItemStates[item];
  core::ItemResult result{ item,
                           core::ItemOutcome::Completed,
                           state.text.text(),
                           state.text.versions(),
                           "" };
  const auto* batchRoute = route();
  if (batchRoute != nullptr && batchRoute->singleVersion &&
      result.versions.size() > 1) {
    state.endCause = "versions";
    requeue(item, kFailureRetryDelay);
    co_return;
  }
  if (spec.reward) {
    // Use a new cancel signal. checkRunProgress() may have triggered the old
    // signal just before the text was complete, and that must not cancel the
    // reward call.
    state.cancel = std::make_shared<net::CancelSignal>();
    ScoreRequest request;
    request.batch = mSpec->id;
    request.item = spec.id;
    request.reward = *spec.reward;
    request.cancel = state.cancel;
    request.countFailure = [this, item] {
      return mProgress.countRewardFailure(item);
    };
    const auto itemScore =
      co_await scoreItem(mContext, mForwarder, std::move(request));
    if (itemScore.scoreOutcome == ScoreOutcome::Failed) {
      result = { item, core::ItemOutcome::GivenUp, "", {}, "" };
    }
    if (itemScore.scoreOutcome == ScoreOutcome::Cancelled) {
      co_return;
    }
    result.score = itemScore.score;
  }
  if (!mIsStopped) {
    finish(std::move(result));
  }
}

void
BatchRun::requeue(std::size_t item, Millis pause)
{
  mProgress.requeue(item, Clock::now() + pause);
  mWorkChanged.notify();
}

void
BatchRun::finish(core::ItemResult result)
{
  const auto item = result.item;
  if (!mProgress.finish(item, result.outcome)) {
    return;
  }
  auto& state = mItemStates[item];
  if (result.outcome == core::ItemOutcome::Completed) {
    state.completeEvents = state.text.lastNumber();
  } else {
    countDiscarded(state.text.lastNumber(), "given_up");
  }
  StoredResult stored{ item, mContext.format.encodeResult(*mSpec, result) };
  mResults.add(std::move(stored));
  state.text.clear();
  mContext.metrics.increment(result.outcome == core::ItemOutcome::Completed
                               ? "items_completed_total"
                               : "items_dead_total");
  mWorkChanged.notify();
}

void
BatchRun::abandonItem(std::size_t item, const std::string& reason)
{
  if (mProgress.isFinished(item)) {
    return;
  }
  mContext.log.info("item_given_up",
                    { { "batch", mSpec->id },
                      { "item", mSpec->items[item].id },
                      { "reason", reason } });
  finish({ item, core::ItemOutcome::GivenUp, "", {}, "" });
  if (mItemStates[item].cancel) {
    mItemStates[item].cancel->cancel();
  }
}

net::Awaitable<void>
BatchRun::writeResults()
{
  const auto ending = co_await mResults.write();
  if (!mIsStopped) {
    stop(ending == ResultLog::Ending::Complete ? "finished"
                                               : "owned_elsewhere");
  }
}

} // namespace lentilrack::gateway
