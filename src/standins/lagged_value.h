#pragma once

#include "core/time.h"

#include <deque>
#include <utility>

namespace lentilrack::standins {

/// A value whose changes become visible to readers after a fixed lag.
template<typename T>
class LaggedValue
{
public:
  /// `initialValue` is visible at once, without the lag.
  LaggedValue(core::Millis lag, T initialValue)
    : mLag(lag)
  {
    mValues.emplace_back(core::TimePoint::min(), std::move(initialValue));
  }

  void set(core::TimePoint now, T value)
  {
    // A value set within this time after the newest entry replaces the value of
    // that entry, which limits memory. The new value becomes visible too early
    // by at most this time.
    constexpr core::Millis kResolution{ 10 };
    const bool isRecent = mValues.back().first != core::TimePoint::min() &&
                          now - mValues.back().first < kResolution;
    if (isRecent) {
      mValues.back().second = std::move(value);
    } else {
      mValues.emplace_back(now, std::move(value));
    }
    removeSuperseded(now);
  }

  /// Returns the newest value that was set at least the lag before `now`. `now`
  /// must not decrease between calls.
  const T& at(core::TimePoint now)
  {
    removeSuperseded(now);
    return mValues.front().second;
  }

  core::Millis lag() const { return mLag; }

private:
  /// Removes each value whose successor is visible at `now`.
  void removeSuperseded(core::TimePoint now)
  {
    while (mValues.size() > 1 && mValues[1].first + mLag <= now) {
      mValues.pop_front();
    }
  }

  core::Millis mLag;
  std::deque<std::pair<core::TimePoint, T>> mValues;
};

} // namespace lentilrack::standins
