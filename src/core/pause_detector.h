#pragma once

#include "core/time.h"

namespace lentilrack::core {

struct PauseDetectorOptions
{
  /// A longer gap between two ticks means that the process was paused. It is
  /// far above the gaps that occur in a busy process.
  Millis pauseThreshold{ 500 };
  /// Messages that are read within this time after a pause may have waited for
  /// the whole pause.
  Millis backlogWindow{ 200 };
};

/// Detects that the process was paused. A message states how much time was left
/// until its deadline when it was sent. If the message then waits unread during
/// a pause, less time is left than it states; maxUnreadTime() limits the
/// difference.
class PauseDetector
{
public:
  explicit PauseDetector(PauseDetectorOptions options = {});

  /// To be called regularly, at intervals far shorter than `pauseThreshold`.
  void tick(TimePoint now);
  /// Returns how long a message that is read now may have waited unread.
  Millis maxUnreadTime(TimePoint now) const;

private:
  PauseDetectorOptions mOptions;
  TimePoint mLastTick;
  bool mHasTicked = false;
  /// Length and end of the last pause.
  Millis mPause{ 0 };
  TimePoint mPauseEnd;
};

} // namespace lentilrack::core
