#include "core/concurrency_window.h"

#include <algorithm>

namespace lentilrack::core {

ConcurrencyWindow::ConcurrencyWindow(ConcurrencyWindowOptions options)
  : mOptions(options)
  , mLimit(options.initialLimit)
{
}

void
ConcurrencyWindow::accepted()
{
  if (mPause > mOptions.initialPause) {
    mPause = mPause * 3 / 4;
    return;
  }
  const double increase = mWasRefused ? mOptions.increase / mLimit : 1;
  mLimit = std::min(mOptions.maxLimit, mLimit + increase);
}

void
ConcurrencyWindow::refused(TimePoint now)
{
  mWasRefused = true;
  if (now < mPausedUntil) {
    return;
  }
  const auto longer = std::min(2 * mPause, mOptions.maxPause);
  mPause = mLimit > 1 ? mOptions.initialPause
                      : std::max(longer, mOptions.initialPause);
  mPausedUntil = now + mPause;
  mLimit = std::max(1.0, mLimit / 2);
}

} // namespace lentilrack::core
