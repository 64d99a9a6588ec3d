#include "core/scheduling/first_event_bound.h"

#include "core/statistics/median.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

constexpr std::size_t kMaxRecent = 32;
/// The bound as a multiple of the median, which a few silent servers do not
/// change.
constexpr int kMedianFactor = 3;

} // namespace

void
FirstEventBound::record(Millis time)
{
  if (mRecent.size() < kMaxRecent) {
    mRecent.push_back(time);
    return;
  }
  mRecent[mNext] = time;
  mNext = (mNext + 1) % kMaxRecent;
}

Millis
FirstEventBound::bound() const
{
  if (mRecent.empty()) {
    return kFloor;
  }
  return std::clamp(kMedianFactor * medianOf(mRecent), kFloor, kCeiling);
}

} // namespace lentilrack::core
