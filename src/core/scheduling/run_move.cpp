#include "core/scheduling/run_move.h"

namespace lentilrack::core {

namespace {

/// Cost of a move in time: the connection, the wait for the slot and the prompt
/// take about 100 ms, and the cancelled work and the prompt that is read again
/// cost the fleet about as much again.
constexpr double kMoveCostMillis = 200;

} // namespace

bool
paysOff(const RunMove& move)
{
  const double pause =
    std::chrono::duration<double, std::milli>(move.sourcePause).count();
  const double stay = pause + move.remainingEvents * move.sourceMillisPerEvent;
  const double events =
    move.remainingEvents + (move.losesEvents ? move.producedEvents : 0);
  return events * move.targetMillisPerEvent + kMoveCostMillis < stay;
}

} // namespace lentilrack::core
