#pragma once

#include "core/time.h"

#include <pcg_random.hpp>

#include <cstdint>

namespace lentilrack::backends {

/// Decides when calls may be sent to a service that has failed to respond.
/// After a failure, no calls are permitted for a delay. After the delay, one
/// call at a time, the probe, is permitted. If the probe fails, the next delay
/// is twice as long, up to a maximum; if it succeeds, all calls are permitted
/// again. Random jitter shortens each delay by up to half.
class KvBackoff
{
public:
  struct Limits
  {
    core::Millis initialDelay{ 100 };
    /// Must stay below 7 s, the time within which an edit must take effect even
    /// directly after an outage.
    core::Millis maxDelay{ 5000 };
    /// Time after which another probe is permitted although the previous probe
    /// has no result yet.
    core::Millis probeTimeout{ 1000 };
  };

  enum class Permission
  {
    Granted,
    /// The call is permitted, as the only one, to find out whether the service
    /// responds again.
    Probe,
    Denied,
  };

  KvBackoff(Limits limits, std::uint64_t seed);

  /// Returns whether a call may be sent now. The result of a permitted call
  /// must be reported by recordSuccess() or recordFailure().
  Permission requestPermission(core::TimePoint now);
  void recordSuccess();
  /// `wasProbe` is true if requestPermission() returned Probe for the call.
  void recordFailure(core::TimePoint now, bool wasProbe);

  /// True if no call has failed since the last success.
  bool isHealthy() const { return mFailureCount == 0; }
  /// Returns the time before which no call is permitted.
  core::TimePoint earliestRetry() const { return mEarliestRetry; }

private:
  /// Returns the delay after the next failure, with jitter.
  core::Clock::duration nextDelay();

  Limits mLimits;
  pcg64 mRandom;
  std::uint32_t mFailureCount = 0;
  core::TimePoint mEarliestRetry{};
  core::TimePoint mProbeDeadline{};
};

} // namespace lentilrack::backends
