#pragma once

#include "core/time.h"

#include <optional>

namespace lentilrack::core {

/// The Unix time of a process, protected against jumps of the system clock. The
/// time advances with the time since the machine booted, and approaches the
/// system clock only slowly. Counts that are kept by wall-clock windows thus
/// stay in their window when the clock jumps.
class WallClock
{
public:
  /// Difference from the system clock that counts as a jump. The clocks of a
  /// deployment are synchronised to a few milliseconds.
  static constexpr Millis kJumpThreshold{ 250 };

  /// Compares the time with the system clock; to be called about once a second.
  /// `sinceBoot` is the time since the machine booted, `systemTime` the Unix
  /// time that the system clock shows. Returns true if the system clock has
  /// jumped since the last call.
  bool synchronise(Millis sinceBoot, Millis systemTime);
  /// Returns the Unix time at a time since boot. synchronise() must have been
  /// called before.
  Millis unixTime(Millis sinceBoot) const { return sinceBoot + offset(); }
  /// Returns how far the system clock was ahead at the last comparison.
  Millis systemClockLead() const { return mLead; }

private:
  using Micros = std::chrono::microseconds;

  Millis offset() const
  {
    return std::chrono::duration_cast<Millis>(mOffset.value_or(Micros(0)));
  }

  /// Unix time at the time of boot, according to this clock.
  std::optional<Micros> mOffset;
  Millis mLead{ 0 };
  Millis mSynchronisedAt{ 0 };
};

} // namespace lentilrack::core
