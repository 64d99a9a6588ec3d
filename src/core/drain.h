#pragma once

#include "core/time.h"

#include <cstddef>

namespace lentilrack::core {

/// Course of a graceful shutdown: no new work from the start, the process may
/// end once the others have had time to learn of it and nothing is in flight.
class Drain
{
public:
  /// `notice`: time for the withdrawal of addresses to reach the others.
  explicit Drain(Millis notice)
    : mNotice(notice)
  {
  }

  void startDraining(TimePoint now);
  bool hasBegun() const { return mBegun; }
  /// Whether new work must be refused.
  bool refusesWork() const { return mBegun; }
  /// Whether the process may end; never while anything is in flight.
  bool canExit(std::size_t inFlight, TimePoint now) const;

private:
  Millis mNotice;
  bool mBegun = false;
  TimePoint mBeginning;
};

} // namespace lentilrack::core
