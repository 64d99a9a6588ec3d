#include "backends/kv_backoff.h"

#include <algorithm>
#include <random>

namespace lentilrack::backends {

namespace {

constexpr std::uint32_t kMaxDoublings = 16;

} // namespace

KvBackoff::KvBackoff(Limits limits, std::uint64_t seed)
  : mLimits(limits)
  , mRandom(seed)
{
}

KvBackoff::Permission
KvBackoff::requestPermission(core::TimePoint now)
{
  if (isHealthy()) {
    return Permission::Granted;
  }
  if (now < mEarliestRetry || now < mProbeDeadline) {
    return Permission::Denied;
  }
  mProbeDeadline = now + mLimits.probeTimeout;
  return Permission::Probe;
}

void
KvBackoff::recordSuccess()
{
  mFailureCount = 0;
  mProbeDeadline = {};
}

void
KvBackoff::recordFailure(core::TimePoint now, bool wasProbe)
{
  // Several calls may be in progress when the service stops responding. Only
  // the first failure counts, so that the delay does not double for each call.
  const bool isSameFailure = !wasProbe && !isHealthy();
  if (isSameFailure) {
    return;
  }
  mProbeDeadline = {};
  mEarliestRetry = now + nextDelay();
  ++mFailureCount;
}

core::Clock::duration
KvBackoff::nextDelay()
{
  const auto doublings = std::min(mFailureCount, kMaxDoublings);
  const auto delay = std::min<core::Millis>(
    mLimits.initialDelay * (1 << doublings), mLimits.maxDelay);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  return std::chrono::duration_cast<core::Clock::duration>(delay *
                                                           jitter(mRandom));
}

} // namespace lentilrack::backends
