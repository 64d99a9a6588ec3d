#pragma once

#include "core/time.h"

namespace lentilrack::core {

/// Estimates how busy the servers of a service are, from how many attempts they
/// refuse as full. A process sees only its own requests, so that it cannot
/// count the occupied slots of a server.
class ServiceLoad
{
public:
  /// Records an attempt at a server with this number of slots.
  void recordAttempt(bool wasRefused, int slots, TimePoint now);
  /// Returns the estimated share of occupied slots, in [0, 1].
  double estimate(TimePoint now) const;
  /// Whether second attempts are allowed at this load.
  bool allowsHedging(TimePoint now) const;

private:
  double mAttempts = 0;
  double mRefused = 0;
  double mSlots = 1;
  TimePoint mDecayedAt{};
};

} // namespace lentilrack::core
