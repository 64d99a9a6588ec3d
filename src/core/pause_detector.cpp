#include "core/pause_detector.h"

namespace lentilrack::core {

PauseDetector::PauseDetector(PauseDetectorOptions options)
  : mOptions(options)
{
}

void
PauseDetector::tick(TimePoint now)
{
  const auto gap = std::chrono::duration_cast<Millis>(now - mLastTick);
  if (mHasTicked && gap > mOptions.pauseThreshold) {
    mPause = gap;
    mPauseEnd = now;
  }
  mHasTicked = true;
  mLastTick = now;
}

Millis
PauseDetector::maxUnreadTime(TimePoint now) const
{
  if (!mHasTicked) {
    return Millis(0);
  }
  // The message may be read after a pause but before the next tick. `mPause`
  // does not include that pause yet, so the time since the last tick is checked
  // as well.
  const auto gap = std::chrono::duration_cast<Millis>(now - mLastTick);
  if (gap > mOptions.pauseThreshold) {
    return gap;
  }
  return mPause > Millis(0) && now - mPauseEnd <= mOptions.backlogWindow
           ? mPause
           : Millis(0);
}

} // namespace lentilrack::core
