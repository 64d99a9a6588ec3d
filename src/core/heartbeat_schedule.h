#pragma once

#include "core/time.h"

#include <cstddef>

namespace lentilrack::core {

/// How often a process sends heartbeats, and to how many members.
struct HeartbeatSchedule
{
  /// Time between two rounds. In each round the process sends heartbeats to
  /// some members.
  Millis interval{ 500 };
  /// Members probed per round, in random order. No member is probed again
  /// before all others have been.
  std::size_t probesPerRound = 3;
  /// An entry probes the dispatchers that it watches once in this many rounds.
  std::size_t watchRoundInterval = 1;
};

/// Returns the schedule for the given number of other members. A small fleet
/// can afford frequent load reports and fast failure detection. In a large
/// fleet the cost per process must not grow with its size; every member is
/// still probed by some other member about once per second.
inline HeartbeatSchedule
heartbeatSchedule(std::size_t members)
{
  constexpr std::size_t kSmallFleet = 64;
  if (members <= kSmallFleet) {
    return {};
  }
  return { Millis(1000), 1, 2 };
}

} // namespace lentilrack::core
