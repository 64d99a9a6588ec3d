#include "core/duties/usage_counter.h"

namespace lentilrack::core {

bool
UsageCounter::record(const std::string& organisation,
                     Millis beganAt,
                     Millis now)
{
  const auto number = mWindows.windowAt(beganAt);
  if (mWindows.isOverdue(number, now)) {
    return false;
  }
  auto& window = mCounts[number];
  ++window.counts[organisation];
  window.changedAt = ++mSequence;
  return true;
}

void
UsageCounter::dropOverdue(Millis now)
{
  mCounts.erase(mCounts.begin(),
                mCounts.lower_bound(mWindows.oldestInTime(now)));
}

} // namespace lentilrack::core
