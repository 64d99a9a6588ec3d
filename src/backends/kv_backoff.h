#pragma once

#include "core/time.h"

#include <pcg_random.hpp>

#include <cstdint>

namespace lentilrack::backends {

/// Decides when calls may go to a service that did not answer: after a failure
/// none for a time that doubles up to a cap, with jitter, then one at a time
/// until one is answered.
class KvBackoff
{
public:
  struct Limits
  {
    core::Millis initialDelay{ 100 };
    /// An edit must be in force within 7 s also right after an outage, so the
    /// longest pause stays below that.
    core::Millis maxDelay{ 5000 };
    /// After this time a probe without result no longer holds back others.
    core::Millis probeTimeout{ 1000 };
  };

  enum class Permission
  {
    Granted,
    /// This call finds out whether the service answers again.
    Probe,
    Denied,
  };

  KvBackoff(Limits limits, std::uint64_t seed);

  Permission requestPermission(core::TimePoint now);
  void recordSuccess();
  /// `wasProbe`: enter() gave Probe for this call.
  void recordFailure(core::TimePoint now, bool wasProbe);

  bool isHealthy() const { return mFailures == 0; }
  /// No call may go before this time.
  core::TimePoint earliestRetry() const { return mEarliestRetry; }

private:
  core::Clock::duration nextDelay();

  Limits mLimits;
  pcg64 mRandom;
  std::uint32_t mFailures = 0;
  core::TimePoint mEarliestRetry{};
  core::TimePoint mProbeDeadline{};
};

} // namespace lentilrack::backends
