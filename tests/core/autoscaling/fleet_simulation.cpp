#include "fleet_simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace lentilrack::core {

namespace {

constexpr Millis kTick{ 100 };
constexpr int kTicksPerSecond = 10;
constexpr int kStepInterval = 4 * kTicksPerSecond;
/// Shortest duration of a step, however many servers there are.
constexpr Millis kMinDuration{ 2'500 };
/// A new server registers and loads weights after it has booted.
constexpr Millis kLoadTime{ 1'000 };
constexpr const char* kService = "models";

} // namespace

FleetSimulation::FleetSimulation(Options options, LoadShape shape)
  : mOptions(std::move(options))
  , mShape(std::move(shape))
  , mRandom(mOptions.seed)
  , mPlanner(ServerCountPlanner::Limits{}, mOptions.demand)
{
  for (const auto& [domain, price] : mOptions.spec.pricePerSecond) {
    mServing[domain].ordinary = mOptions.initialPerDomain;
  }
}

void
FleetSimulation::runUntil(int second)
{
  while (mNow < mStart + std::chrono::seconds(second)) {
    step();
  }
}

void
FleetSimulation::step()
{
  mNow += kTick;
  ++mTick;
  std::erase_if(mBooting, [&](const Booting& server) {
    const bool isReady = mNow >= server.readyAt;
    mServing[server.pool.failureDomain].ofKind(server.pool.isReclaimable) +=
      isReady ? 1 : 0;
    return isReady;
  });
  submit();
  work();
  if (mTick % kTicksPerSecond == 0) {
    planNumbers();
  }
  sendOrders();
  const double tick = 1.0 / kTicksPerSecond;
  const auto& spec = mOptions.spec;
  for (const auto& [domain, counts] : mServing) {
    mServerSeconds +=
      tick * spec.pricePerSecond.at(domain) *
      (counts.ordinary + spec.reclaimablePriceFactor * counts.reclaimable);
  }
  for (const auto& server : mBooting) {
    mServerSeconds +=
      tick * spec.pricePerSecond.at(server.pool.failureDomain) *
      (server.pool.isReclaimable ? spec.reclaimablePriceFactor : 1);
  }
}

void
FleetSimulation::submit()
{
  for (int trainer = 0; trainer < mOptions.trainers; ++trainer) {
    if (mTick % kStepInterval != 1 + mOptions.phaseTicks * trainer) {
      continue;
    }
    // The lengths of the items have a long tail.
    const double spread = mOptions.spread;
    const double noise = std::lognormal_distribution<double>(
      -spread * spread / 2, spread)(mRandom);
    const double tokens = mShape(trainer, mTick / kTicksPerSecond) * noise;
    if (tokens > 0) {
      mBatches.push_back({ { fmt::format("{}-{}", trainer, mTick),
                             fmt::format("model-{}", trainer),
                             tokens / noise,
                             unixNow() },
                           tokens });
    }
  }
}

void
FleetSimulation::work()
{
  double capacity =
    totalServers(mServing) * mOptions.tokensPerSecond / kTicksPerSecond;
  for (auto& batch : mBatches) {
    const auto age = unixNow() - batch.recent.submittedAt;
    if (!batch.recent.isOpen) {
      continue;
    }
    const double done = std::min(capacity, batch.remaining);
    batch.remaining -= done;
    capacity -= done;
    const bool isDone = batch.remaining <= 0 && age >= kMinDuration;
    // Trainers give a step up that is far too late.
    if (isDone || age > Millis(14'000)) {
      finish(batch);
    }
  }
  std::erase_if(mBatches, [&](const Batch& batch) {
    return unixNow() - batch.recent.submittedAt > Millis(120'000);
  });
}

void
FleetSimulation::finish(Batch& batch)
{
  batch.recent.isOpen = false;
  const double age =
    std::chrono::duration<double>(unixNow() - batch.recent.submittedAt).count();
  mValue += age <= 7.5 ? 1.0 : age <= 12.0 ? 1 - 0.6 * (age - 7.5) / 4.5 : 0.0;
  ++mFinished;
}

double
FleetSimulation::payoff() const
{
  return mFinished > 0 ? mValue / mFinished : 0;
}

void
FleetSimulation::planNumbers()
{
  if (!mOptions.isPlanned) {
    return;
  }
  ServiceObservation observation;
  observation.isListKnown = isListKnown;
  if (isListKnown) {
    observation.serving = mServing;
    observation.load.slots = 8;
    observation.load.millisPerToken = millisPerToken;
  }
  for (const auto& batch : mBatches) {
    observation.load.batches.push_back(batch.recent);
  }
  const auto plan =
    mPlanner.plan(observation, mOptions.spec, mNow, unixNow() + clockError);
  if (!plan) {
    return;
  }
  for (const auto& pool : mPlanner.lostPools()) {
    mQueue.forgetKnown(kService, pool);
  }
  for (const auto& [domain, counts] : *plan) {
    for (const bool isReclaimable : { false, true }) {
      const ServerPool pool{ domain, isReclaimable };
      if (mPlanned.empty()) {
        mQueue.setKnown(kService, pool, counts.ofKind(isReclaimable));
      }
      mQueue.setWanted(kService, pool, counts.ofKind(isReclaimable));
    }
  }
  mPlanned = *plan;
}

void
FleetSimulation::sendOrders()
{
  const auto order = mQueue.next(mNow);
  if (!order) {
    return;
  }
  if (!isProviderReachable) {
    mQueue.finished(*order, PoolOrderOutcome::Unknown, mNow);
    return;
  }
  mOrders.push_back(*order);
  const auto& pool = order->pool;
  const int present = mServing[pool.failureDomain].ofKind(pool.isReclaimable);
  if (unavailable.contains(pool) && order->servers > present) {
    mQueue.finished(*order, PoolOrderOutcome::Unavailable, mNow);
    mPlanner.recordUnavailable(
      pool, mQueue.known(kService, pool).value_or(present), mNow);
    return;
  }
  execute(*order);
  mQueue.finished(*order, PoolOrderOutcome::Accepted, mNow);
  mPlanner.recordAccepted(pool, order->servers, mNow);
}

void
FleetSimulation::execute(const PoolOrder& order)
{
  const auto isOfPool = [&](const Booting& server) {
    return server.pool == order.pool;
  };
  auto& serving =
    mServing[order.pool.failureDomain].ofKind(order.pool.isReclaimable);
  int missing = order.servers - serving -
                static_cast<int>(std::ranges::count_if(mBooting, isOfPool));
  for (; missing > 0; --missing) {
    mBooting.push_back(
      { order.pool, mNow + mOptions.spec.bootTime + kLoadTime });
  }
  for (; missing < 0; ++missing) {
    const auto booting = std::ranges::find_if(mBooting, isOfPool);
    if (booting != mBooting.end()) {
      mBooting.erase(booting);
    } else {
      --serving;
    }
  }
}

int
FleetSimulation::reversals() const
{
  std::map<ServerPool, int> last;
  std::map<ServerPool, int> direction;
  for (const auto& [domain, counts] : mServing) {
    last[{ domain, false }] = mOptions.initialPerDomain;
  }
  int result = 0;
  for (const auto& order : mOrders) {
    const int change = order.servers - last[order.pool];
    const int sign = change > 0 ? 1 : change < 0 ? -1 : 0;
    result += sign != 0 && direction[order.pool] == -sign ? 1 : 0;
    direction[order.pool] = sign != 0 ? sign : direction[order.pool];
    last[order.pool] = order.servers;
  }
  return result;
}

} // namespace lentilrack::core
