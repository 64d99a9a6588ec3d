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
    // Values set within this time share one entry, which limits memory; they
    // become visible early by at most this time.
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

  /// Returns the value that is visible at `now`. Times must not decrease.
  const T& at(core::TimePoint now)
  {
    removeSuperseded(now);
    return mValues.front().second;
  }

  core::Millis lag() const { return mLag; }

private:
  /// Removes the values that were superseded before the lag.
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
