#include "core/drain.h"

namespace lentilrack::core {

void
Drain::startDraining(TimePoint now)
{
  if (!mBegun) {
    mBegun = true;
    mBeginning = now;
  }
}

bool
Drain::canExit(std::size_t inFlight, TimePoint now) const
{
  return mBegun && inFlight == 0 && now - mBeginning >= mNotice;
}

} // namespace lentilrack::core
