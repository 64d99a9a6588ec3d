#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::backends {

/// Rate limiter for calls to the key-value service. Allows `callsPerSecond` on
/// average. Calls that were not used in the last quarter of a second may be
/// sent in a burst. Assigns send times to calls in the order of their requests.
class KvRateLimiter
{
public:
  explicit KvRateLimiter(double callsPerSecond);

  /// Reserves a call and returns the time at which the call may be sent.
  /// Returns nothing and reserves nothing if this time would be after `latest`.
  std::optional<core::TimePoint> reserve(core::TimePoint now,
                                         core::TimePoint latest);

  /// Discards the unused calls, so that only the average rate is allowed
  /// directly after `now`. Used when the service is available again after an
  /// outage.
  void discardBurst(core::TimePoint now);

private:
  core::Clock::duration mInterval;
  core::Clock::duration mBurst;
  /// Send time of the next call if there are no unused calls.
  core::TimePoint mNextSendTime{};
};

} // namespace lentilrack::backends
