#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::backends {

/// Rate limiter for calls to the key-value service. Allows `callsPerSecond` on
/// average. Calls that the rate allowed in the last quarter of a second but
/// that were not made may be sent in a burst. Calls get their send times in the
/// order in which they are reserved.
class KvRateLimiter
{
public:
  explicit KvRateLimiter(double callsPerSecond);

  /// Reserves a call and returns the time at which the call may be sent.
  /// Returns nothing and reserves nothing if this time would be after `latest`.
  std::optional<core::TimePoint> reserve(core::TimePoint now,
                                         core::TimePoint latest);

  /// Allows no burst directly after `now`, only the average rate. Used when the
  /// service is available again after an outage.
  void discardBurst(core::TimePoint now);

private:
  core::Clock::duration mInterval;
  core::Clock::duration mBurst;
  /// Time at which the next call is due at the average rate. While it is in the
  /// past, a burst is allowed.
  core::TimePoint mNextSendTime{};
};

} // namespace lentilrack::backends
