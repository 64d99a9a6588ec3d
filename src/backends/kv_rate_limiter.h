#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::backends {

/// Rate limiter for calls to the key-value service. Allows `callsPerSecond` on
/// average, and bursts of up to the calls of a quarter of a second. Assigns
/// send times to calls in the order in which they are requested.
class KvRateLimiter
{
public:
  explicit KvRateLimiter(double callsPerSecond);

  /// Reserves a call and returns the time at which it may be sent. Returns
  /// nothing and reserves nothing if that time would be after `latest`.
  std::optional<core::TimePoint> reserve(core::TimePoint now,
                                         core::TimePoint latest);

  /// Discards the unused burst, so that only the average rate is allowed from
  /// `now`. Used when the service returns after an outage.
  void discardBurst(core::TimePoint now);

private:
  core::Clock::duration mInterval;
  core::Clock::duration mBurst;
  /// Send time of the next call if no burst is left.
  core::TimePoint mNextSendTime{};
};

} // namespace lentilrack::backends
