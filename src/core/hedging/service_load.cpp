#include "core/hedging/service_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lentilrack::core {

namespace {

/// Load above which there are no second attempts. Above it, the response times
/// of a queue with several slots rise steeply with every further request.
constexpr double kMaxLoad = 0.7;
/// Refusals count for about this long.
constexpr std::chrono::duration<double> kLoadHalfLife{ 2 };
/// Attempts without a refusal that are assumed at first, so that one or two
/// refusals do not mean that the service is busy.
constexpr double kAssumedAttempts = 20;

} // namespace

void
ServiceLoad::recordAttempt(bool wasRefused, int slots, TimePoint now)
{
  const auto age = std::max(now - mDecayedAt, TimePoint::duration::zero());
  const double factor =
    std::exp2(-std::chrono::duration<double>(age) / kLoadHalfLife);
  mDecayedAt = std::max(now, mDecayedAt);
  mAttempts = mAttempts * factor + 1;
  mRefused = mRefused * factor + (wasRefused ? 1 : 0);
  mSlots = std::max(1, slots);
}

double
ServiceLoad::estimate(TimePoint now) const
{
  const auto age = std::max(now - mDecayedAt, TimePoint::duration::zero());
  const double factor =
    std::exp2(-std::chrono::duration<double>(age) / kLoadHalfLife);
  const double refused =
    mRefused * factor / (mAttempts * factor + kAssumedAttempts);
  // A server with n slots, each occupied with probability p, is full with
  // probability p^n.
  return std::pow(refused, 1 / mSlots);
}

bool
ServiceLoad::allowsHedging(TimePoint now) const
{
  return estimate(now) <= kMaxLoad;
}

} // namespace lentilrack::core
