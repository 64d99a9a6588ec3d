#pragma once

#include "core/time.h"

#include <deque>
#include <utility>

namespace lentilrack::standins {

/// A value that readers see as it was some time ago.
template<typename T>
class LaggedValue
{
public:
  /// The first value is visible at once.
  LaggedValue(core::Millis lag, T first)
    : mLag(lag)
  {
    mValues.emplace_back(core::TimePoint::min(), std::move(first));
  }

  void set(core::TimePoint now, T value)
  {
    // Values in quick succession share one entry; its time is off by no more
    // than this.
    constexpr core::Millis kResolution{ 10 };
    const bool isRecent = mValues.back().first != core::TimePoint::min() &&
                          now - mValues.back().first < kResolution;
    if (isRecent) {
      mValues.back().second = std::move(value);
    } else {
      mValues.emplace_back(now, std::move(value));
    }
    forget(now);
  }

  const T& at(core::TimePoint now)
  {
    forget(now);
    return mValues.front().second;
  }

  core::Millis lag() const { return mLag; }

private:
  /// Keeps the newest value that is old enough, and all that are newer.
  void forget(core::TimePoint now)
  {
    while (mValues.size() > 1 && mValues[1].first + mLag <= now) {
      mValues.pop_front();
    }
  }

  core::Millis mLag;
  std::deque<std::pair<core::TimePoint, T>> mValues;
};

} // namespace lentilrack::standins
