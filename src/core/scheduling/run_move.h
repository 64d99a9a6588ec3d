#pragma once

#include "core/time.h"

namespace lentilrack::core {

/// A possible move of a run to another server, where it continues after its
/// last event.
struct RunMove
{
  double producedEvents = 0;
  /// Expected number of events still to be produced.
  double remainingEvents = 0;
  double sourceMillisPerEvent = 0;
  double targetMillisPerEvent = 0;
  /// Time for which the present server produces no events.
  Millis sourcePause{ 0 };
  /// Whether the events produced so far are lost, because one version of the
  /// weights must produce the whole text.
  bool losesEvents = false;
};

/// Whether the item is expected to end earlier by more than the cost of the
/// move: the other server reads the prompt again, and the work that the present
/// server has begun is cancelled.
bool
paysOff(const RunMove& move);

} // namespace lentilrack::core
