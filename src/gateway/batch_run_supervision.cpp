#include "core/scheduling/run_move.h"
#include "gateway/batch_run.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kSupervisionInterval{ 100 };
/// A run that has started is moved when no event arrives for this time. A run
/// usually produces an event about every 40 ms, and pauses for about 0.9 s
/// while its server loads weights.
constexpr Millis kEventTimeout{ 1'300 };
/// The bound is at least this many times the server's usual time per event, so
/// that a slow but sound server keeps its runs.
constexpr double kEventTimeoutFactor = 16;
/// A run is moved only when the time per event of its server is this many times
/// the median of the service, and that of the other server as many times less.
/// Smaller differences are within the variation of the measurements.
constexpr double kSlowServerFactor = 2.0;
/// A server is treated as loading for about this time longer than it loads.
constexpr Millis kLoadingHoldMargin{ 500 };
constexpr Millis kMinMoveInterval{ 1'000 };
} // namespace

net::Awaitable<void>
BatchRun::superviseRuns()
{
  while (!mIsStopped && !mProgress.isComplete()) {
    const auto now = Clock::now();
    for (std::size_t i = 0; i < mItemStates.size(); ++i) {
      if (mItemStates[i].isGenerating &&
          !mItemStates[i].cancel->isCancelRequested()) {
        checkRunProgress(i, now);
      }
    }
    co_await net::sleepFor(kSupervisionInterval);
  }
}

void
BatchRun::checkRunProgress(std::size_t item, TimePoint now)
{
  auto& run = mItemStates[item];
  const auto* server =
    mContext.registry.find(run.server.id, run.server.startedAt);
  const bool isLoading = server != nullptr && now < server->loadingUntil;
  auto& firstEventBound = mContext.registry.firstEventBound(run.server.service);
  const double pace = server != nullptr ? server->millisPerUnit : 0;
  const Millis paceBound(static_cast<std::int64_t>(kEventTimeoutFactor * pace));
  const auto allowed = run.eventsInRun == 0
                         ? firstEventBound.bound()
                         : std::max(kEventTimeout, paceBound);
  if (isLoading) {
    run.lastActivity = std::max(run.lastActivity, now - allowed / 2);
    moveFromLoadingServer(item, now);
    return;
  }
  if (now - run.lastActivity > allowed) {
    mContext.log.warning("item_silent",
                         { { "batch", mSpec->id },
                           { "item", mSpec->items[item].id },
                           { "server", run.server.id },
                           { "events", run.text.lastNumber() } });
    mContext.registry.failed(run.server, now);
    if (run.eventsInRun == 0) {
      firstEventBound.record(allowed);
    }
    run.endCause = "silent";
    run.cancel->cancel();
    return;
  }
  const double median =
    mContext.registry.medianMillisPerUnit(run.server.service);
  const bool isSlow = server != nullptr && median > 0 && run.eventsInRun > 0 &&
                      server->millisPerUnit > kSlowServerFactor * median &&
                      now - run.lastMovedAt > kMinMoveInterval;
  if (!isSlow || mProgress.nextItem(now)) {
    return;
  }
  const auto* other = findOtherServer(run.server, now);
  if (other != nullptr &&
      other->millisPerUnit < server->millisPerUnit / kSlowServerFactor &&
      gainsByMove(item, *server, *other, Millis(0))) {
    moveItem(item, *other, "slow", now);
  }
}

const core::RegisteredServer*
BatchRun::findOtherServer(const core::ServerEntry& server, TimePoint now) const
{
  auto requirements = slotRequirements(server.service);
  requirements.exclude = { server.id };
  // A move uses a permit that another item needs.
  requirements.excludesRateLimited = true;
  return mContext.registry.choose(requirements, now, mContext.uniformRandom());
}

bool
BatchRun::gainsByMove(std::size_t item,
                      const core::RegisteredServer& source,
                      const core::RegisteredServer& target,
                      Millis sourcePause) const
{
  const auto events = mItemStates[item].text.lastNumber();
  const auto* batchRoute = route();
  const double median =
    mContext.registry.medianMillisPerUnit(source.entry.service);
  const auto paceOf = [&](const core::RegisteredServer& server) {
    return server.millisPerUnit > 0 ? server.millisPerUnit : median;
  };
  core::RunMove move;
  move.producedEvents = static_cast<double>(events);
  move.remainingEvents = mProgress.expectedEvents(item, events);
  move.sourceMillisPerEvent = paceOf(source);
  move.targetMillisPerEvent = paceOf(target);
  move.sourcePause = sourcePause;
  move.losesEvents = batchRoute != nullptr && batchRoute->singleVersion;
  return core::paysOff(move);
}

void
BatchRun::moveFromLoadingServer(std::size_t item, TimePoint now)
{
  const auto& run = mItemStates[item];
  const auto* batchRoute = route();
  const bool losesText = batchRoute != nullptr && batchRoute->singleVersion &&
                         run.text.lastNumber() > 0;
  if (losesText || now - run.lastMovedAt < kMinMoveInterval ||
      !mProgress.isLong(item, run.text.lastNumber())) {
    return;
  }
  const auto* server =
    mContext.registry.find(run.server.id, run.server.startedAt);
  const auto* other = findOtherServer(run.server, now);
  if (server == nullptr || other == nullptr) {
    return;
  }
  const auto pause = std::chrono::duration_cast<Millis>(
    server->loadingUntil - now - kLoadingHoldMargin);
  if (gainsByMove(item, *server, *other, std::max(pause, Millis(0)))) {
    moveItem(item, *other, "loading", now);
  }
}

void
BatchRun::moveItem(std::size_t item,
                   const core::RegisteredServer& target,
                   const std::string& reason,
                   TimePoint now)
{
  auto& run = mItemStates[item];
  const auto* source =
    mContext.registry.find(run.server.id, run.server.startedAt);
  run.lastMovedAt = now;
  run.moveTarget = target.entry.id;
  run.endCause = "moved";
  mContext.metrics.increment("item_runs_moved_total{reason=\"" + reason +
                             "\"}");
  mContext.log.info(
    "item_moved",
    { { "batch", mSpec->id },
      { "item", mSpec->items[item].id },
      { "from", run.server.id },
      { "to", target.entry.id },
      { "reason", reason },
      { "events", run.text.lastNumber() },
      { "pace_ms", source != nullptr ? source->millisPerUnit : 0 },
      { "target_pace_ms", target.millisPerUnit },
      { "median_ms",
        mContext.registry.medianMillisPerUnit(run.server.service) } });
  run.cancel->cancel();
}

void
BatchRun::countDiscarded(std::int64_t events, const std::string& cause)
{
  if (events > 0) {
    mContext.metrics.increment("item_events_discarded_total{cause=\"" + cause +
                                 "\"}",
                               static_cast<double>(events));
  }
}

void
BatchRun::countDiscardedAtEnd(const std::string& cause)
{
  for (std::size_t i = 0; i < mItemStates.size(); ++i) {
    if (!mProgress.isFinished(i)) {
      countDiscarded(mItemStates[i].text.lastNumber(), cause);
    } else if (!mProgress.isGroupComplete(i)) {
      countDiscarded(mItemStates[i].completeEvents, "group_incomplete");
    }
  }
}

} // namespace lentilrack::gateway
