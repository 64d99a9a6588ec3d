#include "backends/kv_rate_limiter.h"

#include <algorithm>

namespace lentilrack::backends {

namespace {

constexpr std::chrono::milliseconds kBurst{ 250 };
constexpr double kMinRate = 0.001;

} // namespace

KvRateLimiter::KvRateLimiter(double callsPerSecond)
  : mInterval(std::chrono::duration_cast<core::Clock::duration>(
      std::chrono::duration<double>(1.0 / std::max(callsPerSecond, kMinRate))))
  , mBurst(kBurst)
{
}

std::optional<core::TimePoint>
KvRateLimiter::reserve(core::TimePoint now, core::TimePoint latest)
{
  const auto next = std::max(mNextSendTime, now - mBurst);
  const auto sendTime = std::max(next, now);
  if (sendTime > latest) {
    return std::nullopt;
  }
  mNextSendTime = next + mInterval;
  return sendTime;
}

void
KvRateLimiter::discardBurst(core::TimePoint now)
{
  mNextSendTime = std::max(mNextSendTime, now);
}

} // namespace lentilrack::backends
