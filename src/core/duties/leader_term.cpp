#include "core/duties/leader_term.h"

namespace lentilrack::core {

LeaderTerm::LeaderTerm(Millis handoverTime)
  : mWeightOrderDelay({ .minOrderInterval = handoverTime,
                        .orderWindow = kSendWindow,
                        .transitMargin = kTransitTime })
  , mProviderDelay({ .minOrderInterval = handoverTime / 2,
                     .orderWindow = kSendWindow,
                     .transitMargin = kTransitTime })
{
}

void
LeaderTerm::begin(std::int64_t fencingToken, bool isSettled, TimePoint now)
{
  if (!isSettled) {
    mWeightOrderDelay.startTakeover(now);
    mProviderDelay.startTakeover(now);
  } else if (mFencingToken == 0) {
    mProviderCallsAfter = now + kTransitTime;
  }
  mFencingToken = fencingToken;
}

} // namespace lentilrack::core
