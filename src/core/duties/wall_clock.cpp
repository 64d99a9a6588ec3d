#include "core/duties/wall_clock.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

/// Greatest correction of the time, in microseconds per millisecond. It is
/// above the drift of a clock, which is up to 100 microseconds per second, and
/// moves the time by less than 0.2 s in five minutes while a jump lasts.
constexpr double kMaxCorrection = 0.0005 * 1'000;

} // namespace

bool
WallClock::synchronise(Millis sinceBoot, Millis systemTime)
{
  const Micros observed = systemTime - sinceBoot;
  if (!mOffset) {
    mOffset = observed;
    mSynchronisedAt = sinceBoot;
    return false;
  }
  const auto passed = std::max(Millis(0), sinceBoot - mSynchronisedAt);
  const Micros limit{ static_cast<std::int64_t>(
    kMaxCorrection * static_cast<double>(passed.count())) };
  *mOffset += std::clamp(observed - *mOffset, -limit, limit);
  mSynchronisedAt = sinceBoot;
  const auto lead = std::chrono::duration_cast<Millis>(observed - *mOffset);
  const bool hasJumped = std::chrono::abs(lead - mLead) >= kJumpThreshold;
  mLead = lead;
  return hasJumped;
}

} // namespace lentilrack::core
