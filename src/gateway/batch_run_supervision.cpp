#include "gateway/batch_run.h"

#include <algorithm>

namespace lentilrack::gateway {

namespace {

using core::Clock;
using core::Millis;
using core::TimePoint;

constexpr Millis kSupervisionInterval{ 100 };
/// A run that has not produced an event after this time is moved to another
/// server. The wait for a slot on the server is rarely longer.
constexpr Millis kFirstEventTimeout{ 1'500 };
/// A run that has started is moved when no event arrives for this time. A run
/// usually produces an event about every 40 ms, and pauses for about 0.9 s
/// while its server loads weights.
constexpr Millis kEventTimeout{ 1'300 };
/// A run is moved when the time per event of its server is this many times the
/// median of the service. Moving costs little, because the new server processes
/// the prompt within a few milliseconds.
constexpr double kSlowServerFactor = 2.0;
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
  const auto allowed =
    run.eventsInRun == 0 ? kFirstEventTimeout : kEventTimeout;
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
      other->millisPerUnit < server->millisPerUnit / kSlowServerFactor) {
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
  if (const auto* other = findOtherServer(run.server, now)) {
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

} // namespace lentilrack::gateway
