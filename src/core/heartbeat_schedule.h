#pragma once

#include "core/time.h"

#include <cstddef>

namespace lentilrack::core {

/// How often a process sends heartbeats.
struct HeartbeatSchedule
{
  /// Time between two rounds.
  Millis interval{ 500 };
  /// Members probed in a round, in random order without repetition.
  std::size_t probesPerRound = 3;
  /// An entry asks the dispatchers that it watches in every so many rounds.
  std::size_t watchRoundInterval = 1;
};

/// Small fleets can afford fresh loads and fast detection. In large ones the
/// cost of a process must not grow, and every member is still probed by some
/// other about once a second.
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
