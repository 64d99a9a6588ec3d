#include "core/pause_guard.h"

namespace lentilrack::core {

PauseGuard::PauseGuard(PauseGuardOptions options)
  : mOptions(options)
{
}

void
PauseGuard::tick(TimePoint now)
{
  const auto gap = std::chrono::duration_cast<Millis>(now - mLastTick);
  if (mTicked && gap > mOptions.gap) {
    mPause = gap;
    mPauseEnd = now;
  }
  mTicked = true;
  mLastTick = now;
}

Millis
PauseGuard::unreadTime(TimePoint now) const
{
  if (!mTicked) {
    return Millis(0);
  }
  // The message may be read before the first tick after the pause.
  const auto gap = std::chrono::duration_cast<Millis>(now - mLastTick);
  if (gap > mOptions.gap) {
    return gap;
  }
  return mPause > Millis(0) && now - mPauseEnd <= mOptions.backlog ? mPause
                                                                   : Millis(0);
}

} // namespace lentilrack::core
