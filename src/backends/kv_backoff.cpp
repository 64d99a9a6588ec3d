#include "backends/kv_backoff.h"

#include <algorithm>
#include <random>

namespace lentilrack::backends {

namespace {

constexpr std::uint32_t kMostDoublings = 16;

} // namespace

KvBackoff::KvBackoff(Limits limits, std::uint64_t seed)
  : mLimits(limits)
  , mRandom(seed)
{
}

KvBackoff::Gate
KvBackoff::enter(core::TimePoint now)
{
  if (isOpen()) {
    return Gate::Open;
  }
  if (now < mRetryAt || now < mProbeEnd) {
    return Gate::Wait;
  }
  mProbeEnd = now + mLimits.probeTime;
  return Gate::Probe;
}

void
KvBackoff::succeeded()
{
  mFailures = 0;
  mProbeEnd = {};
}

void
KvBackoff::failed(core::TimePoint now, bool wasProbe)
{
  // Calls that were under way together fail together; they count as one.
  const bool isSameFailure = !wasProbe && !isOpen();
  if (isSameFailure) {
    return;
  }
  mProbeEnd = {};
  mRetryAt = now + nextPause();
  ++mFailures;
}

core::Clock::duration
KvBackoff::nextPause()
{
  const auto doublings = std::min(mFailures, kMostDoublings);
  const auto full =
    std::min<core::Millis>(mLimits.first * (1 << doublings), mLimits.longest);
  std::uniform_real_distribution<double> share(0.5, 1.0);
  return std::chrono::duration_cast<core::Clock::duration>(full *
                                                           share(mRandom));
}

} // namespace lentilrack::backends
