#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::backends {

/// Call budget towards the key-value service: `callsPerSecond` on average and
/// at most a quarter of a second's calls at once. Gives calls their send times
/// in order of request.
class KvRateLimiter
{
public:
  explicit KvRateLimiter(double callsPerSecond);

  /// The time at which the call may be sent; nothing, and no use of the budget,
  /// if that is after `latest`.
  std::optional<core::TimePoint> reserve(core::TimePoint now,
                                         core::TimePoint latest);

  /// Drops the unused part of the budget, so that only the average rate is
  /// allowed next. Used when the service returns after an outage.
  void discardBurst(core::TimePoint now);

private:
  core::Clock::duration mInterval;
  core::Clock::duration mBurst;
  /// Send time of the next call if no credit is left.
  core::TimePoint mNextSendTime{};
};

} // namespace lentilrack::backends
