#include "core/autoscaling/server_count_planner.h"

#include "core/autoscaling/server_allocation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <vector>

namespace lentilrack::core {

namespace {

constexpr std::array kKinds{ false, true };

int
countOf(const CountsByDomain& counts, const ServerPool& pool)
{
  const auto found = counts.find(pool.failureDomain);
  return found == counts.end() ? 0 : found->second.ofKind(pool.isReclaimable);
}

/// Returns the pools of the failure domains in `counts`.
std::vector<ServerPool>
poolsOf(const CountsByDomain& counts)
{
  std::vector<ServerPool> pools;
  for (const auto& domain : counts | std::views::keys) {
    for (const bool isReclaimable : kKinds) {
      pools.push_back({ domain, isReclaimable });
    }
  }
  return pools;
}

} // namespace

std::optional<CountsByDomain>
ServerCountPlanner::plan(const ServiceObservation& observation,
                         const AutoscalingSpec& spec,
                         TimePoint now,
                         Millis unixNow)
{
  // The demand is observed from the start, also while nothing can be ordered.
  mEstimate = mDemand.estimate(observation.load, now, unixNow);
  const bool isListKnown =
    observation.isListKnown && totalServers(observation.serving) > 0;
  if (!isListKnown) {
    return mIsAdopted ? std::optional(mOrdered) : std::nullopt;
  }
  addDomains(observation, spec);
  if (!mIsAdopted) {
    adoptPresentNumbers(observation, spec, now);
    return mIsAdopted ? std::optional(mOrdered) : std::nullopt;
  }
  detectLosses(observation.serving, spec, now);
  const auto domains = static_cast<int>(mOrdered.size());
  const int wanted =
    mEstimate ? static_cast<int>(std::ceil(mEstimate->wanted)) : mTotal;
  adjustTotal(
    std::clamp(wanted, spec.minServers * domains, spec.maxServers * domains),
    now);
  const auto target = targetCounts(observation, spec, now);
  raise(target, spec);
  replace(target, observation, spec, now);
  lower(target, observation, now);
  applyOverrides(observation.overrides, now);
  return mOrdered;
}

void
ServerCountPlanner::addDomains(const ServiceObservation& observation,
                               const AutoscalingSpec& spec)
{
  for (const auto& domain : spec.pricePerSecond | std::views::keys) {
    mOrdered[domain];
  }
  for (const auto& domain : observation.serving | std::views::keys) {
    mOrdered[domain];
  }
}

void
ServerCountPlanner::adoptPresentNumbers(const ServiceObservation& observation,
                                        const AutoscalingSpec& spec,
                                        TimePoint now)
{
  mFirstReadAt = mFirstReadAt.value_or(now);
  for (const auto& pool : poolsOf(observation.serving)) {
    auto& ordered = mOrdered[pool.failureDomain].ofKind(pool.isReclaimable);
    ordered = std::max(ordered, countOf(observation.serving, pool));
  }
  mAccepted = mOrdered;
  mTotal = totalServers(mOrdered);
  mIsAdopted = now - *mFirstReadAt >= spec.bootTime + mLimits.bootMargin;
}

void
ServerCountPlanner::backOff(Availability& availability, TimePoint now) const
{
  availability.backoff =
    availability.backoff == Millis(0)
      ? mLimits.initialBackoff
      : std::min(2 * availability.backoff, mLimits.maxBackoff);
  availability.unavailableUntil = now + availability.backoff;
  availability.shortSince.reset();
}

bool
ServerCountPlanner::isUnavailable(const ServerPool& pool, TimePoint now) const
{
  const auto found = mAvailability.find(pool);
  return found != mAvailability.end() && now < found->second.unavailableUntil;
}

void
ServerCountPlanner::recordUnavailable(const ServerPool& pool,
                                      int servers,
                                      TimePoint now)
{
  mOrdered[pool.failureDomain].ofKind(pool.isReclaimable) = servers;
  mAccepted[pool.failureDomain].ofKind(pool.isReclaimable) = servers;
  backOff(mAvailability[pool], now);
}

void
ServerCountPlanner::recordAccepted(const ServerPool& pool,
                                   int servers,
                                   TimePoint now)
{
  mAccepted[pool.failureDomain].ofKind(pool.isReclaimable) = servers;
  mLostPools.erase(pool);
  mAvailability[pool].shortSince = now;
}

void
ServerCountPlanner::detectLosses(const CountsByDomain& serving,
                                 const AutoscalingSpec& spec,
                                 TimePoint now)
{
  for (const auto& pool : poolsOf(mOrdered)) {
    auto& ordered = mOrdered[pool.failureDomain].ofKind(pool.isReclaimable);
    const int present = countOf(serving, pool);
    auto& availability = mAvailability[pool];
    if (present >= std::min(ordered, countOf(mAccepted, pool))) {
      availability.hadServers = present > 0;
      availability.shortSince.reset();
      if (now >= availability.unavailableUntil + 2 * availability.backoff) {
        availability.backoff = Millis(0);
      }
      continue;
    }
    availability.shortSince = availability.shortSince.value_or(now);
    availability.hadServers = availability.hadServers || present > 0;
    // Ordered servers boot, and a server that crashed starts again. All
    // reclaimable servers of a failure domain are taken back at once.
    const auto missingFor = now - *availability.shortSince;
    const bool isTakenBack = pool.isReclaimable && present == 0 &&
                             availability.hadServers &&
                             missingFor >= mLimits.lossDelay;
    const bool isLost = missingFor > 2 * (spec.bootTime + mLimits.bootMargin);
    if (isTakenBack || isLost) {
      ordered = present;
      availability.hadServers = present > 0;
      mLostPools.insert(pool);
      backOff(availability, now);
    }
  }
}

void
ServerCountPlanner::adjustTotal(int wanted, TimePoint now)
{
  mWantedTotals[now] = wanted;
  std::erase_if(mWantedTotals, [&](const auto& item) {
    return now - item.first > mLimits.lowerDelay;
  });
  const auto recent = mWantedTotals.lower_bound(now - mLimits.raiseDelay);
  const int lowestRecent = std::ranges::min(
    std::ranges::subrange(recent, mWantedTotals.end()) | std::views::values);
  const int highest = std::ranges::max(mWantedTotals | std::views::values);
  const bool coversLowering =
    now - mWantedTotals.begin()->first >= mLimits.lowerDelay * 3 / 4;
  const int band = std::max(
    1, static_cast<int>(std::floor(mLimits.deadBand * std::max(mTotal, 0))));
  if (lowestRecent > mTotal + band) {
    mTotal = lowestRecent;
  } else if (coversLowering && highest < mTotal - band) {
    mTotal = highest;
  }
}

CountsByDomain
ServerCountPlanner::targetCounts(const ServiceObservation& observation,
                                 const AutoscalingSpec& spec,
                                 TimePoint now) const
{
  int total = mTotal;
  AllocationRequest request(spec);
  for (const auto& domain : mOrdered | std::views::keys) {
    const auto override = observation.overrides.find(domain);
    if (override == observation.overrides.end()) {
      request.failureDomains.insert(domain);
    } else {
      total -= override->second.total();
    }
  }
  request.servers = std::max(0, total);
  const double required =
    std::max(mLimits.requiredShareAfterLoss * mTotal,
             mEstimate ? std::min<double>(mEstimate->due, mTotal) : 0.0);
  request.requiredAfterLoss = static_cast<int>(std::ceil(required));
  request.maxReclaimableShare = mLimits.maxReclaimableShare;
  for (const auto& pool : poolsOf(mOrdered)) {
    if (isUnavailable(pool, now)) {
      request.maximumByPool[pool] = countOf(mOrdered, pool);
    }
  }
  return allocateToDomains(request);
}

void
ServerCountPlanner::raise(const CountsByDomain& target,
                          const AutoscalingSpec& spec)
{
  int missing = mTotal - totalServers(mOrdered);
  for (const auto& pool : poolsOf(target)) {
    auto& counts = mOrdered[pool.failureDomain];
    const int room = spec.maxServers - counts.total();
    const int wanted = countOf(target, pool) - countOf(mOrdered, pool);
    const int added = std::max(0, std::min({ wanted, room, missing }));
    counts.ofKind(pool.isReclaimable) += added;
    missing -= added;
  }
}

void
ServerCountPlanner::replace(const CountsByDomain& target,
                            const ServiceObservation& observation,
                            const AutoscalingSpec& spec,
                            TimePoint now)
{
  const bool isSettled = totalServers(mOrdered) == mTotal &&
                         totalServers(observation.serving) >= mTotal;
  if (!mEstimate || !isSettled || now < mReplaceAfter) {
    return;
  }
  for (const auto& pool : poolsOf(target)) {
    auto& counts = mOrdered[pool.failureDomain];
    const int room = spec.maxServers - counts.total();
    const int wanted = countOf(target, pool) - countOf(mOrdered, pool);
    const int added = std::min({ wanted, room, mLimits.maxMove });
    if (added >= mLimits.minMove) {
      counts.ofKind(pool.isReclaimable) += added;
      mReplaceAfter = now + mLimits.moveInterval;
      return;
    }
  }
}

void
ServerCountPlanner::lower(const CountsByDomain& target,
                          const ServiceObservation& observation,
                          TimePoint now)
{
  if (now < mLowerAfter || !mEstimate) {
    return;
  }
  const auto excess = [&](const ServerPool& pool) {
    return countOf(mOrdered, pool) - countOf(target, pool);
  };
  const auto pools = poolsOf(target);
  const auto most = std::ranges::max_element(pools, {}, excess);
  if (most == pools.end() || excess(*most) <= 0) {
    return;
  }
  // Servers that are released must not be missed: those that remain must
  // accept work already, and be enough for the open batches.
  const int serving =
    std::min(totalServers(observation.serving), totalServers(mOrdered));
  const int busy = static_cast<int>(std::ceil(mEstimate->open));
  const int spare = serving - std::max(mTotal, busy);
  const int surplus = totalServers(mOrdered) - mTotal;
  const int step =
    std::max(1, static_cast<int>(std::floor(mLimits.lowerShare * mTotal)));
  const int reduction = std::min({ excess(*most), spare, step });
  const bool isWorthwhile = excess(*most) >= mLimits.minMove || surplus > 0;
  if (reduction > 0 && isWorthwhile) {
    mOrdered[most->failureDomain].ofKind(most->isReclaimable) -= reduction;
    mLowerAfter = now + mLimits.lowerInterval;
  }
}

void
ServerCountPlanner::applyOverrides(const CountsByDomain& overrides,
                                   TimePoint now)
{
  for (const auto& pool : poolsOf(overrides)) {
    auto& ordered = mOrdered[pool.failureDomain].ofKind(pool.isReclaimable);
    const int servers = countOf(overrides, pool);
    if (servers < ordered || !isUnavailable(pool, now)) {
      ordered = servers;
    }
  }
}

} // namespace lentilrack::core
