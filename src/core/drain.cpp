#include "core/drain.h"

namespace lentilrack::core {

void
Drain::startDraining(TimePoint now)
{
  if (!mHasBegun) {
    mHasBegun = true;
    mStartTime = now;
  }
}

bool
Drain::canExit(std::size_t inFlight, TimePoint now) const
{
  return mHasBegun && inFlight == 0 && now - mStartTime >= mNotice;
}

} // namespace lentilrack::core
