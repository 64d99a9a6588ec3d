#pragma once

#include "core/time.h"

#include <algorithm>
#include <cstddef>

namespace lentilrack::core {

/// Time to live and renewal interval of the lease under which a process
/// registers itself. Both grow with the number of processes, so that the
/// renewals of all processes together stay below a fixed rate.
struct LeaseTiming
{
  /// Renewals per second of all processes together, until kLongestRenewal is
  /// reached.
  static constexpr std::size_t kRenewalsPerSecond = 60;
  static constexpr Millis kShortestRenewal{ 600 };
  /// A lost process stays registered for up to 10 s in the largest fleets.
  static constexpr Millis kLongestRenewal{ 3'000 };

  Millis renewInterval = kShortestRenewal;
  Millis timeToLive = timeToLiveOf(kShortestRenewal);

  /// Two renewals in a row may fail before a lease expires.
  static constexpr Millis timeToLiveOf(Millis renewInterval)
  {
    return renewInterval * 10 / 3;
  }
  /// Returns the renewal interval of a lease with this time to live.
  static constexpr Millis renewIntervalOf(Millis timeToLive)
  {
    return timeToLive * 3 / 10;
  }
  static LeaseTiming forProcesses(std::size_t count)
  {
    constexpr int kMillisPerSecond = 1'000;
    const auto interval =
      std::clamp(Millis(count * kMillisPerSecond / kRenewalsPerSecond),
                 kShortestRenewal,
                 kLongestRenewal);
    return { interval, timeToLiveOf(interval) };
  }

  /// Whether a lease with this time to live should be replaced by one with
  /// `wanted`. Small differences are accepted, because a new lease costs two
  /// calls to the store.
  static bool mustReplace(Millis present, Millis wanted)
  {
    return wanted > 2 * present || 2 * wanted < present;
  }
};

} // namespace lentilrack::core
