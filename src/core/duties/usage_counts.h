#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace lentilrack::core {

/// Number of requests by organisation.
using UsageCounts = std::map<std::string, std::int64_t>;

/// The windows of wall-clock time for which usage is reported. Window k begins
/// k window lengths after the start of 1970.
struct UsageWindows
{
  Millis length{ 5'000 };
  /// How long after its end a window may still be reported.
  Millis reportTime{ 10'000 };

  std::int64_t windowAt(Millis unixTime) const { return unixTime / length; }
  Millis endOf(std::int64_t window) const { return (window + 1) * length; }
  /// Returns true if the window can no longer be reported in time.
  bool isOverdue(std::int64_t window, Millis unixTime) const
  {
    return unixTime >= endOf(window) + reportTime;
  }
  /// Returns the oldest window that can still be reported in time.
  std::int64_t oldestInTime(Millis unixTime) const
  {
    return windowAt(unixTime - reportTime);
  }
};

} // namespace lentilrack::core
