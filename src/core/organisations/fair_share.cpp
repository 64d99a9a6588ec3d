#include "core/organisations/fair_share.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

/// Weight of a new observation in the mean duration of runs.
constexpr double kObservationWeight = 0.1;

} // namespace

FairShare::FairShare()
  : FairShare(Limits{})
{
}

FairShare::FairShare(Limits limits)
  : mLimits(limits)
{
}

void
FairShare::setWeight(const std::string& organisation, double weight)
{
  mFlows[organisation].weight = std::max(weight, 1e-3);
}

bool
FairShare::isWaiting(const Flow& flow, TimePoint now) const
{
  return flow.lastWaiting != TimePoint{} &&
         now - flow.lastWaiting <= mLimits.waitingTime;
}

std::int64_t
FairShare::effectivePriority(const Flow& flow, TimePoint now) const
{
  const auto waited =
    std::chrono::duration_cast<Millis>(now - std::min(now, flow.waitingSince));
  return flow.priority - waited / mLimits.ageingStep;
}

double
FairShare::startOf(const Flow& flow) const
{
  return std::max(flow.virtualStart, mVirtualTime);
}

void
FairShare::recordWaiting(const std::string& organisation,
                         int priority,
                         TimePoint now)
{
  auto& flow = mFlows[organisation];
  if (!isWaiting(flow, now)) {
    flow.waitingSince = now;
    // Time without waiting work earns no credit.
    flow.virtualStart = startOf(flow);
  }
  flow.priority = priority;
  flow.lastWaiting = now;
}

bool
FairShare::mayStart(const std::string& organisation,
                    int priority,
                    TimePoint now) const
{
  const auto known = mFlows.find(organisation);
  auto own = known != mFlows.end() ? known->second : Flow{};
  own.priority = priority;
  if (!isWaiting(own, now)) {
    own.waitingSince = now;
  }
  const auto ownPriority = effectivePriority(own, now);
  return std::ranges::none_of(mFlows, [&](const auto& entry) {
    const auto& [name, flow] = entry;
    if (name == organisation || !isWaiting(flow, now)) {
      return false;
    }
    const auto otherPriority = effectivePriority(flow, now);
    return otherPriority < ownPriority ||
           (otherPriority == ownPriority && startOf(flow) < startOf(own));
  });
}

Millis
FairShare::runStarted(const std::string& organisation, TimePoint now)
{
  auto& flow = mFlows[organisation];
  const auto estimate = flow.meanCost > 0
                          ? Millis(static_cast<std::int64_t>(flow.meanCost))
                          : mLimits.defaultCost;
  const double start = startOf(flow);
  mVirtualTime = start;
  flow.virtualStart =
    start + static_cast<double>(estimate.count()) / flow.weight;
  flow.waitingSince = now;
  return estimate;
}

void
FairShare::runEnded(const std::string& organisation,
                    Millis estimate,
                    Millis took)
{
  auto& flow = mFlows[organisation];
  const auto difference = static_cast<double>((took - estimate).count());
  flow.virtualStart += difference / flow.weight;
  const auto cost = static_cast<double>(took.count());
  flow.meanCost = flow.meanCost == 0 ? cost
                                     : flow.meanCost + kObservationWeight *
                                                         (cost - flow.meanCost);
}

} // namespace lentilrack::core
