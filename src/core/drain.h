#pragma once

#include "core/time.h"

#include <cstddef>

namespace lentilrack::core {

/// State of a graceful shutdown. New work is refused as soon as the shutdown
/// has started. The process may exit once the other processes have had time to
/// notice the shutdown and nothing is in flight.
class Drain
{
public:
  /// `notice` is the time that the other processes need to learn that the
  /// addresses of this process are withdrawn.
  explicit Drain(Millis notice)
    : mNotice(notice)
  {
  }

  /// Starts the shutdown; further calls have no effect.
  void startDraining(TimePoint now);
  /// Whether the shutdown has started.
  bool hasBegun() const { return mHasBegun; }
  /// Whether new work must be refused.
  bool refusesWork() const { return mHasBegun; }
  /// Whether the process may exit. Never true while anything is in flight.
  bool canExit(std::size_t inFlight, TimePoint now) const;

private:
  Millis mNotice;
  bool mHasBegun = false;
  TimePoint mStartTime;
};

} // namespace lentilrack::core
